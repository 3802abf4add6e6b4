/**
 * Performs the handshake over a socket, with a timeout and with the smaller
 * maximum frame size that applies until the peer is authenticated.
 */
import { randomBytes } from "node:crypto";
import { type Socket } from "node:net";
import { err, ok, type Result } from "neverthrow";
import { type Sleep } from "../model/mod.ts";
import { WireError } from "./error.ts";
import {
  encodeFrame,
  FrameDecoder,
  MAX_HANDSHAKE_FRAME_BYTES,
} from "./frame.ts";
import {
  answerChallenge,
  answerHello,
  checkProof,
  createHello,
  type Identity,
  type PeerIdentity,
  peerOf,
} from "./handshake.ts";
import { type HandshakeMessage, parseHandshake } from "./message.ts";

const NONCE_BYTES = 16;

/** The authenticated peer of a socket. */
export interface VerifiedPeer {
  readonly peer: PeerIdentity;
  /** May buffer bytes that the peer sent right after the handshake. */
  readonly decoder: FrameDecoder;
}

/** Options of a handshake. */
export interface HandshakeOptions {
  readonly identity: Identity;
  readonly timeoutMs: number;
  readonly sleep: Sleep;
}

/** Performs the handshake of the connecting side. */
export function initiateHandshake(
  socket: Socket,
  options: HandshakeOptions,
): Promise<Result<VerifiedPeer, WireError>> {
  return withTimeout(socket, options, async (channel) => {
    const { identity } = options;
    const hello = createHello(identity, newNonce());
    channel.send(hello);
    const challenge = await channel.receive("challenge");
    if (challenge.isErr()) return err(challenge.error);
    const proof = answerChallenge(identity, hello, challenge.value);
    if (proof.isErr()) return err(proof.error);
    channel.send({ kind: "proof", proof: proof.value });
    return ok(peerOf(challenge.value));
  });
}

/** Performs the handshake of the side that was connected to. */
export function acceptHandshake(
  socket: Socket,
  options: HandshakeOptions,
): Promise<Result<VerifiedPeer, WireError>> {
  return withTimeout(socket, options, async (channel) => {
    const { identity } = options;
    const hello = await channel.receive("hello");
    if (hello.isErr()) return err(hello.error);
    const challenge = answerHello(identity, hello.value, newNonce());
    if (challenge.isErr()) return refuse(channel, challenge.error);
    channel.send(challenge.value);
    const proof = await channel.receive("proof");
    if (proof.isErr()) return err(proof.error);
    const transcript = [hello.value, challenge.value] as const;
    const checked = checkProof(identity, transcript, proof.value.proof);
    if (checked.isErr()) return refuse(channel, checked.error);
    return ok(peerOf(hello.value));
  });
}

type MessageOf<Kind extends HandshakeMessage["kind"]> = Extract<
  HandshakeMessage,
  { kind: Kind }
>;

/** Sends and receives the handshake's messages over one socket. */
class HandshakeChannel {
  readonly decoder = new FrameDecoder(MAX_HANDSHAKE_FRAME_BYTES);
  readonly #socket: Socket;
  #notify: () => void = () => {};
  #fault: WireError | undefined;

  constructor(socket: Socket) {
    this.#socket = socket;
    socket.on("data", this.#onData);
    socket.on("error", this.#onError);
    socket.on("close", this.#onClose);
  }

  send(message: HandshakeMessage): void {
    encodeFrame(message).map((frame) => this.#socket.write(frame));
  }

  async receive<Kind extends HandshakeMessage["kind"]>(
    kind: Kind,
  ): Promise<Result<MessageOf<Kind>, WireError>> {
    while (this.#fault === undefined) {
      const frame = this.decoder.next();
      if (frame.isErr()) return err(frame.error);
      if (frame.value !== undefined) return expect(frame.value, kind);
      await new Promise<void>((resolve) => this.#notify = resolve);
    }
    return err(this.#fault);
  }

  fail(fault: WireError): void {
    this.#fault ??= fault;
    this.#notify();
  }

  detach(): void {
    this.#socket.off("data", this.#onData);
    this.#socket.off("error", this.#onError);
    this.#socket.off("close", this.#onClose);
    this.#socket.pause();
  }

  readonly #onData = (chunk: Uint8Array): void => {
    this.decoder.push(chunk);
    this.#notify();
  };

  readonly #onError = (error: Error): void =>
    this.fail(new WireError("unreachable", error.message));

  readonly #onClose = (): void =>
    this.fail(new WireError("closed", "closed during the handshake"));
}

async function withTimeout(
  socket: Socket,
  options: HandshakeOptions,
  handshake: (
    channel: HandshakeChannel,
  ) => Promise<Result<PeerIdentity, WireError>>,
): Promise<Result<VerifiedPeer, WireError>> {
  const channel = new HandshakeChannel(socket);
  const timer = new AbortController();
  void options.sleep(options.timeoutMs, timer.signal).then(() =>
    channel.fail(new WireError("timeout", "the handshake timed out"))
  );
  const peer = await handshake(channel);
  channel.detach();
  timer.abort();
  if (peer.isOk()) return ok({ peer: peer.value, decoder: channel.decoder });
  socket.on("error", () => {});
  socket.destroySoon();
  return err(peer.error);
}

function expect<Kind extends HandshakeMessage["kind"]>(
  value: unknown,
  kind: Kind,
): Result<MessageOf<Kind>, WireError> {
  return parseHandshake(value).andThen((message) => {
    if (message.kind === kind) return ok(message as MessageOf<Kind>);
    if (message.kind === "refused") {
      return err(new WireError("refused", message.reason));
    }
    return err(
      new WireError("frame_malformed", `expected ${kind}, got ${message.kind}`),
    );
  });
}

function refuse(
  channel: HandshakeChannel,
  error: WireError,
): Result<never, WireError> {
  const reason = parseHandshake({ kind: "refused", reason: error.message });
  if (reason.isOk()) channel.send(reason.value);
  return err(error);
}

function newNonce(): string {
  return randomBytes(NONCE_BYTES).toString("hex");
}
