/**
 * One connection between two processes after its handshake. It counts bytes,
 * bounds what waits to be written, and knows when the peer was last heard, so
 * that its owner can discard it once it has gone silent.
 */
import { type Socket } from "node:net";
import { err, ok, type Result } from "neverthrow";
import { type Clock } from "../model/mod.ts";
import { WireError } from "./error.ts";
import { encodeFrame, type FrameDecoder, MAX_FRAME_BYTES } from "./frame.ts";
import { type PeerIdentity } from "./handshake.ts";
import { parsePeerMessage, type PeerMessage } from "./message.ts";

const MAX_QUEUED_BYTES = 2 * MAX_FRAME_BYTES;

/** What the owner of a connection is told. */
export interface ConnectionEvents {
  onMessage(connection: PeerConnection, message: PeerMessage): void;
  onClose(connection: PeerConnection, reason: string): void;
}

/** What a connection needs. */
export interface ConnectionOptions {
  readonly socket: Socket;
  /** Holds what the peer sent right behind its handshake. */
  readonly decoder: FrameDecoder;
  readonly peer: PeerIdentity;
  readonly clock: Clock;
  readonly events: ConnectionEvents;
}

/** An open connection to a process that has proved itself. */
export class PeerConnection {
  readonly peer: PeerIdentity;
  readonly #socket: Socket;
  readonly #decoder: FrameDecoder;
  readonly #clock: Clock;
  readonly #events: ConnectionEvents;
  #heardAtMs: number;
  #isOpen = true;

  constructor(options: ConnectionOptions) {
    this.peer = options.peer;
    this.#socket = options.socket;
    this.#decoder = options.decoder;
    this.#clock = options.clock;
    this.#events = options.events;
    this.#heardAtMs = options.clock();
  }

  /** Begins to read; what is buffered already is read at once. */
  start(): void {
    this.#decoder.setMaxBytes(MAX_FRAME_BYTES);
    this.#socket.on("data", (chunk: Uint8Array) => this.#receive(chunk));
    this.#socket.on("error", (error) => this.discard(error.message));
    this.#socket.on("close", () => this.discard("closed by the peer"));
    if (this.#socket.destroyed) return this.discard("closed by the peer");
    this.#socket.resume();
    this.#readFrames();
  }

  /** When the peer last sent anything. */
  get lastReceivedAtMs(): number {
    return this.#heardAtMs;
  }

  /** Whether messages may be sent. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Sends one message, or discards a connection whose queue is full. */
  send(message: PeerMessage): Result<number, WireError> {
    if (!this.#isOpen) return err(new WireError("closed", "not open"));
    const frame = encodeFrame(message);
    if (frame.isErr()) return err(frame.error);
    const queuedBytes = this.#socket.writableLength + frame.value.byteLength;
    if (queuedBytes > MAX_QUEUED_BYTES) {
      this.discard("its queue is full");
      return err(new WireError("queue_full", `${queuedBytes} bytes wait`));
    }
    this.#socket.write(frame.value);
    return ok(frame.value.byteLength);
  }

  /** Closes the connection for good. */
  discard(reason: string): void {
    if (!this.#isOpen) return;
    this.#isOpen = false;
    this.#socket.destroy();
    this.#events.onClose(this, reason);
  }

  /** Lets what was sent go out, then closes. */
  end(): void {
    this.#socket.end();
  }

  #receive(chunk: Uint8Array): void {
    this.#heardAtMs = this.#clock();
    this.#decoder.push(chunk);
    this.#readFrames();
  }

  #readFrames(): void {
    while (this.#isOpen) {
      const message = this.#decoder.next().andThen((value) =>
        value === undefined ? ok(undefined) : parsePeerMessage(value)
      );
      if (message.isErr()) return this.discard(message.error.message);
      if (message.value === undefined) return;
      this.#events.onMessage(this, message.value);
    }
  }
}
