/**
 * Frames: four bytes of length, big end first, then one CBOR value. The length
 * is checked before anything is buffered for it, and a frame is decoded only
 * when it is whole, so that a peer cannot make this process hold more than one
 * frame of the bound.
 */
import { Encoder, setSizeLimits } from "cbor-x";
import { err, ok, type Result } from "neverthrow";
import { WireError } from "./error.ts";

/** The bytes of a frame's length. */
export const FRAME_HEADER_BYTES = 4;
/** The largest frame after the handshake. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;
/** The largest frame of the handshake. */
export const MAX_HANDSHAKE_FRAME_BYTES = 2048;

const MAX_ITEMS = 65_536;

setSizeLimits({
  maxArraySize: MAX_ITEMS,
  maxMapSize: MAX_ITEMS,
  maxObjectSize: MAX_ITEMS,
});

const codec = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
});

/** Encodes one value as a frame. */
export function encodeFrame(value: unknown): Result<Uint8Array, WireError> {
  const body = codec.encode(value);
  if (body.byteLength > MAX_FRAME_BYTES) {
    return err(tooLarge(body.byteLength, MAX_FRAME_BYTES));
  }
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + body.byteLength);
  frame.writeUInt32BE(body.byteLength, 0);
  frame.set(body, FRAME_HEADER_BYTES);
  return ok(frame);
}

/** Reads frames out of the chunks of one connection. */
export class FrameDecoder {
  #maxBytes: number;
  /** What is not yet consumed of the chunks pushed. */
  #rest: Uint8Array = new Uint8Array(0);
  #part: FramePart = newPart("header", FRAME_HEADER_BYTES);

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Raises the bound once the peer is known. */
  setMaxBytes(maxBytes: number): void {
    this.#maxBytes = maxBytes;
  }

  /** Bytes held for frames that are not yet read. */
  get heldBytes(): number {
    return this.#rest.byteLength + this.#part.bytes.byteLength;
  }

  /** Adds a chunk; the caller then reads until `next` gives nothing. */
  push(chunk: Uint8Array): void {
    const isEmpty = this.#rest.byteLength === 0;
    this.#rest = isEmpty ? chunk : Buffer.concat([this.#rest, chunk]);
  }

  /**
   * The next whole value, or `undefined` until more bytes come. After a fault
   * the connection is of no more use.
   */
  next(): Result<unknown, WireError> {
    if (!this.#fill()) return ok(undefined);
    if (this.#part.kind === "header") {
      const bodyBytes = this.#part.bytes.readUInt32BE(0);
      const rule = this.#brokenRule(bodyBytes);
      if (rule !== undefined) return err(rule);
      this.#part = newPart("body", bodyBytes);
      if (!this.#fill()) return ok(undefined);
    }
    const body = this.#part.bytes;
    this.#part = newPart("header", FRAME_HEADER_BYTES);
    return decodeBody(body);
  }

  #brokenRule(bodyBytes: number): WireError | undefined {
    if (bodyBytes === 0) return malformed("it is empty");
    if (bodyBytes <= this.#maxBytes) return undefined;
    return tooLarge(bodyBytes, this.#maxBytes);
  }

  #fill(): boolean {
    const part = this.#part;
    const wanted = part.bytes.byteLength - part.filledBytes;
    const taken = this.#rest.subarray(0, wanted);
    part.bytes.set(taken, part.filledBytes);
    part.filledBytes += taken.byteLength;
    this.#rest = this.#rest.subarray(taken.byteLength);
    return part.filledBytes === part.bytes.byteLength;
  }
}

interface FramePart {
  readonly kind: "header" | "body";
  readonly bytes: Buffer;
  filledBytes: number;
}

function newPart(kind: FramePart["kind"], sizeBytes: number): FramePart {
  return { kind, bytes: Buffer.alloc(sizeBytes), filledBytes: 0 };
}

function decodeBody(body: Uint8Array): Result<unknown, WireError> {
  try {
    const value: unknown = codec.decode(body);
    if (typeof value === "object" && value !== null) return ok(value);
    return err(malformed("it holds no message"));
  } catch (error) {
    return err(malformed(String(error)));
  }
}

function tooLarge(sizeBytes: number, maxBytes: number): WireError {
  return new WireError(
    "frame_too_large",
    `a frame of ${sizeBytes} bytes is over the bound of ${maxBytes}`,
  );
}

function malformed(detail: string): WireError {
  return new WireError("frame_malformed", `a frame is malformed: ${detail}`);
}
