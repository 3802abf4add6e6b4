/**
 * The handshake: each side proves that it holds the deployment's shared key
 * without sending it, by an HMAC over both sides' fields and nonces. The side
 * that was connected to sends its proof first. Pure functions; the messages are
 * sent by `socket_handshake.ts`.
 */
import { createHmac, timingSafeEqual } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { type MemberUpdate } from "../decision/mod.ts";
import { RECORD_FORMAT } from "../state/mod.ts";
import { WireError } from "./error.ts";
import { type Challenge, type Hello, PROTOCOL_VERSION } from "./message.ts";

/** The identity that a process presents to its peers. */
export interface Identity {
  readonly deployment: string;
  readonly sharedKey: string;
  readonly vm: string;
  readonly role: "member" | "subscriber";
  /** Absent for a subscriber. */
  readonly member: MemberUpdate | undefined;
}

/** The identity of an authenticated peer. */
export interface PeerIdentity {
  readonly vm: string;
  readonly role: "member" | "subscriber";
  readonly member: MemberUpdate | undefined;
  readonly recordFormat: number;
}

type Side = "connecting" | "connected_to";

/** Creates the first message of the connecting side. */
export function createHello(identity: Identity, nonce: string): Hello {
  return { kind: "hello", ...handshakeFieldsOf(identity, nonce) };
}

/** Creates the answer to a hello; fails with the reason of a refusal. */
export function answerHello(
  identity: Identity,
  hello: Hello,
  nonce: string,
): Result<Challenge, WireError> {
  const reason = refusalReasonOf(identity, hello);
  if (reason !== undefined) return err(refused(reason));
  const fields = handshakeFieldsOf(identity, nonce);
  const proof = proofOf(identity.sharedKey, "connected_to", [hello, fields]);
  return ok({ kind: "challenge", ...fields, proof });
}

/** Checks a challenge and returns the proof of the connecting side. */
export function answerChallenge(
  identity: Identity,
  hello: Hello,
  challenge: Challenge,
): Result<string, WireError> {
  const reason = refusalReasonOf(identity, challenge);
  if (reason !== undefined) return err(refused(reason));
  const transcript = [hello, challenge] as const;
  const expected = proofOf(identity.sharedKey, "connected_to", transcript);
  if (!isSame(expected, challenge.proof)) return err(refused("proof"));
  return ok(proofOf(identity.sharedKey, "connecting", transcript));
}

/** Checks the proof of the connecting side. */
export function checkProof(
  identity: Identity,
  transcript: readonly [Hello, Challenge],
  proof: string,
): Result<void, WireError> {
  const expected = proofOf(identity.sharedKey, "connecting", transcript);
  return isSame(expected, proof) ? ok() : err(refused("proof"));
}

/** The sender's identity in a hello or a challenge. */
export function peerOf(fields: HandshakeFields): PeerIdentity {
  return {
    vm: fields.vm,
    role: fields.role,
    member: fields.member ?? undefined,
    recordFormat: fields.recordFormat,
  };
}

/** The fields that a proof covers; `kind` and `proof` are not covered. */
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
  peer: HandshakeFields,
): string | undefined {
  if (peer.protocol !== PROTOCOL_VERSION) return "protocol";
  if (peer.deployment !== identity.deployment) return "deployment";
  const areBothMembers = peer.role === "member" && identity.role === "member";
  if (areBothMembers && peer.vm === identity.vm) return "same_vm";
  if (peer.role === "member" && peer.member?.vm !== peer.vm) return "proof";
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

function canonical(fields: HandshakeFields): readonly unknown[] {
  const { member } = fields;
  return [
    fields.protocol,
    fields.recordFormat,
    fields.deployment,
    fields.vm,
    fields.role,
    fields.nonce,
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

function refused(reason: string): WireError {
  return new WireError("refused", reason);
}
