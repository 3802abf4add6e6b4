/**
 * Frames: a length of four bytes in big-endian order, then one CBOR value. The
 * length is checked before a buffer is allocated for it, and a frame is decoded
 * only when it is complete, so a peer cannot make this process buffer more than
 * one frame of the maximum size.
 */
import { Encoder, setSizeLimits } from "cbor-x";
import { err, ok, type Result } from "neverthrow";
import { WireError } from "./error.ts";

/** Size of the length that precedes each body. */
export const FRAME_HEADER_BYTES = 4;
/** Maximum body of a frame after the handshake. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;
/** Maximum body of a frame of the handshake. */
export const MAX_HANDSHAKE_FRAME_BYTES = 2048;

/** Maximum number of items of one decoded array or map. */
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

/** Decodes frames from the chunks of one connection. */
export class FrameDecoder {
  #maxBytes: number;
  /** Bytes pushed but not yet copied into a part. */
  #unread: Uint8Array = new Uint8Array(0);
  #part: FramePart = newPart("header", FRAME_HEADER_BYTES);

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Sets the maximum body size; raised once the peer is authenticated. */
  setMaxBytes(maxBytes: number): void {
    this.#maxBytes = maxBytes;
  }

  /** Bytes buffered for frames that are not decoded yet. */
  get bufferedBytes(): number {
    return this.#unread.byteLength + this.#part.bytes.byteLength;
  }

  /** Adds a chunk; the caller then calls `next` until it has no value. */
  push(chunk: Uint8Array): void {
    const isEmpty = this.#unread.byteLength === 0;
    this.#unread = isEmpty ? chunk : Buffer.concat([this.#unread, chunk]);
  }

  /**
   * Decodes the next value; `undefined` when its frame is incomplete. After a
   * fault the position in the stream is lost and the connection must be closed.
   */
  next(): Result<unknown, WireError> {
    if (!this.#fill()) return ok(undefined);
    if (this.#part.kind === "header") {
      const bodyBytes = this.#part.bytes.readUInt32BE(0);
      const fault = this.#sizeFaultOf(bodyBytes);
      if (fault !== undefined) return err(fault);
      this.#part = newPart("body", bodyBytes);
      if (!this.#fill()) return ok(undefined);
    }
    const body = this.#part.bytes;
    this.#part = newPart("header", FRAME_HEADER_BYTES);
    return decodeBody(body);
  }

  #sizeFaultOf(bodyBytes: number): WireError | undefined {
    if (bodyBytes === 0) return malformed("it is empty");
    if (bodyBytes <= this.#maxBytes) return undefined;
    return tooLarge(bodyBytes, this.#maxBytes);
  }

  #fill(): boolean {
    const part = this.#part;
    const missingBytes = part.bytes.byteLength - part.filledBytes;
    const copied = this.#unread.subarray(0, missingBytes);
    part.bytes.set(copied, part.filledBytes);
    part.filledBytes += copied.byteLength;
    this.#unread = this.#unread.subarray(copied.byteLength);
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
