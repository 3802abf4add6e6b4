/**
 * The handshake: each side shows that it holds the deployment's shared key
 * without sending it, by an HMAC over both sides' words and both nonces. The
 * side that was connected to proves itself first. Pure functions; the
 * connection carries the messages.
 */
import { createHmac, timingSafeEqual } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { type MemberUpdate } from "../decision/mod.ts";
import { RECORD_FORMAT } from "../state/mod.ts";
import { WireError } from "./error.ts";
import { type Challenge, type Hello, PROTOCOL_VERSION } from "./message.ts";

/** What a process is, towards its peers. */
export interface Identity {
  readonly deployment: string;
  readonly sharedKey: string;
  readonly vm: string;
  readonly role: "member" | "subscriber";
  /** Absent for a subscriber. */
  readonly member: MemberUpdate | undefined;
}

/** The other side, once it has proved itself. */
export interface PeerIdentity {
  readonly vm: string;
  readonly role: "member" | "subscriber";
  readonly member: MemberUpdate | undefined;
  readonly recordFormat: number;
}

type Side = "connecting" | "connected_to";

/** The first message. */
export function createHello(identity: Identity, nonce: string): Hello {
  return { kind: "hello", ...handshakeFieldsOf(identity, nonce) };
}

/** The answer to a hello, or why it is refused. */
export function answerHello(
  identity: Identity,
  hello: Hello,
  nonce: string,
): Result<Challenge, WireError> {
  const rule = refusalReasonOf(identity, hello);
  if (rule !== undefined) return err(refused(rule));
  const words = handshakeFieldsOf(identity, nonce);
  const proof = proofOf(identity.sharedKey, "connected_to", [hello, words]);
  return ok({ kind: "challenge", ...words, proof });
}

/** Checks the challenge and gives this side's own proof. */
export function answerChallenge(
  identity: Identity,
  hello: Hello,
  challenge: Challenge,
): Result<string, WireError> {
  const rule = refusalReasonOf(identity, challenge);
  if (rule !== undefined) return err(refused(rule));
  const transcript = [hello, challenge] as const;
  const expected = proofOf(identity.sharedKey, "connected_to", transcript);
  if (!isSame(expected, challenge.proof)) return err(refused("proof"));
  return ok(proofOf(identity.sharedKey, "connecting", transcript));
}

/** Checks the proof of the side that connected. */
export function checkProof(
  identity: Identity,
  transcript: readonly [Hello, Challenge],
  proof: string,
): Result<void, WireError> {
  const expected = proofOf(identity.sharedKey, "connecting", transcript);
  return isSame(expected, proof) ? ok() : err(refused("proof"));
}

/** What a hello or a challenge says of its sender. */
export function peerOf(words: HandshakeFields): PeerIdentity {
  return {
    vm: words.vm,
    role: words.role,
    member: words.member ?? undefined,
    recordFormat: words.recordFormat,
  };
}

/** What each side says of itself; `kind` and `proof` are not proved. */
type HandshakeFields = Omit<Hello, "kind">;

function handshakeFieldsOf(identity: Identity, nonce: string): HandshakeFields {
  return {
    protocol: PROTOCOL_VERSION,
    recordFormat: RECORD_FORMAT,
    deployment: identity.deployment,
    vm: identity.vm,
    role: identity.role,
    member: identity.member ?? null,
    nonce,
  };
}

function refusalReasonOf(
  identity: Identity,
  words: HandshakeFields,
): string | undefined {
  if (words.protocol !== PROTOCOL_VERSION) return "protocol";
  if (words.deployment !== identity.deployment) return "deployment";
  const areMembers = words.role === "member" && identity.role === "member";
  if (areMembers && words.vm === identity.vm) return "same_vm";
  if (words.role === "member" && words.member?.vm !== words.vm) return "proof";
  return undefined;
}

function proofOf(
  sharedKey: string,
  side: Side,
  transcript: readonly [HandshakeFields, HandshakeFields],
): string {
  const text = JSON.stringify([side, ...transcript.map(canonical)]);
  return createHmac("sha256", sharedKey).update(text).digest("hex");
}

function canonical(words: HandshakeFields): readonly unknown[] {
  const { member } = words;
  return [
    words.protocol,
    words.recordFormat,
    words.deployment,
    words.vm,
    words.role,
    words.nonce,
    member?.place,
    member?.address,
    member?.peerAddress,
    member?.incarnation,
    member?.status,
  ];
}

function isSame(a: string, b: string): boolean {
  const left = Buffer.from(a);
  const right = Buffer.from(b);
  return left.byteLength === right.byteLength && timingSafeEqual(left, right);
}

function refused(rule: string): WireError {
  return new WireError("refused", rule);
}
