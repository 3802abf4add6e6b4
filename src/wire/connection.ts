/**
 * One connection between two processes after its handshake. It bounds the bytes
 * queued for writing and records when data was last received, so that its owner
 * can discard an inactive connection.
 */
import { type Socket } from "node:net";
import { err, ok, type Result } from "neverthrow";
import { type Clock } from "../model/mod.ts";
import { WireError } from "./error.ts";
import { encodeFrame, type FrameDecoder, MAX_FRAME_BYTES } from "./frame.ts";
import { type PeerIdentity } from "./handshake.ts";
import { parsePeerMessage, type PeerMessage } from "./message.ts";

const MAX_QUEUED_BYTES = 2 * MAX_FRAME_BYTES;

/** Callbacks to the owner of a connection. */
export interface ConnectionEvents {
  onMessage(connection: PeerConnection, message: PeerMessage): void;
  onClose(connection: PeerConnection, reason: string): void;
}

/** Options of a connection. */
export interface ConnectionOptions {
  readonly socket: Socket;
  /** May already buffer bytes that the peer sent right after its handshake. */
  readonly decoder: FrameDecoder;
  readonly peer: PeerIdentity;
  readonly clock: Clock;
  readonly events: ConnectionEvents;
}

/** A connection to an authenticated process. */
export class PeerConnection {
  readonly peer: PeerIdentity;
  readonly #socket: Socket;
  readonly #decoder: FrameDecoder;
  readonly #clock: Clock;
  readonly #events: ConnectionEvents;
  #lastReceivedAtMs: number;
  #isOpen = true;

  constructor(options: ConnectionOptions) {
    this.peer = options.peer;
    this.#socket = options.socket;
    this.#decoder = options.decoder;
    this.#clock = options.clock;
    this.#events = options.events;
    this.#lastReceivedAtMs = options.clock();
  }

  /** Begins to read; frames that are already buffered are read at once. */
  start(): void {
    this.#decoder.setMaxBytes(MAX_FRAME_BYTES);
    this.#socket.on("data", (chunk: Uint8Array) => this.#receive(chunk));
    this.#socket.on("error", (error) => this.discard(error.message));
    this.#socket.on("close", () => this.discard("closed by the peer"));
    if (this.#socket.destroyed) return this.discard("closed by the peer");
    this.#socket.resume();
    this.#readFrames();
  }

  /** Time of the last received data, by the clock of the options. */
  get lastReceivedAtMs(): number {
    return this.#lastReceivedAtMs;
  }

  get isOpen(): boolean {
    return this.#isOpen;
  }

  /**
   * Queues one message and returns its size in bytes. Discards the connection
   * when its queue is full.
   */
  send(message: PeerMessage): Result<number, WireError> {
    if (!this.#isOpen) return err(new WireError("closed", "not open"));
    const frame = encodeFrame(message);
    if (frame.isErr()) return err(frame.error);
    const queuedBytes = this.#socket.writableLength + frame.value.byteLength;
    if (queuedBytes > MAX_QUEUED_BYTES) {
      this.discard("its queue is full");
      return err(
        new WireError("queue_full", `${queuedBytes} bytes are queued`),
      );
    }
    this.#socket.write(frame.value);
    return ok(frame.value.byteLength);
  }

  /** Closes the connection at once; queued messages are lost. */
  discard(reason: string): void {
    if (!this.#isOpen) return;
    this.#isOpen = false;
    this.#socket.destroy();
    this.#events.onClose(this, reason);
  }

  /** Closes the connection after the queued messages are written. */
  end(): void {
    this.#socket.end();
  }

  #receive(chunk: Uint8Array): void {
    this.#lastReceivedAtMs = this.#clock();
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
