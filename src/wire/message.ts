/**
 * The messages between the system's own processes and their schemas. Every
 * received frame is checked against them before it is processed.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { memberUpdateSchema } from "../decision/mod.ts";
import { identifierSchema } from "../model/mod.ts";
import { billSchema, type RawEntry } from "../state/mod.ts";
import { WireError } from "./error.ts";

/** The version of this protocol; a peer with another version is refused. */
export const PROTOCOL_VERSION = 1;

/** The maximum number of entries to request in one query. */
export const MAX_ENTRIES_PER_ANSWER = 256;

/** The maximum age in a message; also sent by a peer that has read nothing. */
export const MAX_AGE_MS = 2 ** 31;

const MAX_UPDATES = 32;
const MAX_MEMBERS = 2048;
/** Larger than the limit of a query, since a checkpoint is sent complete. */
const MAX_ENTRIES_WITH_CHECKPOINT = 4096;
const NONCE_PATTERN = /^[0-9a-f]{32}$/;
const PROOF_PATTERN = /^[0-9a-f]{64}$/;

const nameSchema = z.string().min(1).max(64);
const countSchema = z.number().int().min(0);
const sequenceSchema = countSchema;
const nonceSchema = z.string().regex(NONCE_PATTERN);
const proofSchema = z.string().regex(PROOF_PATTERN);

const identityFields = {
  protocol: countSchema,
  recordFormat: countSchema,
  deployment: nameSchema,
  vm: nameSchema,
  role: z.enum(["member", "subscriber"]),
  member: memberUpdateSchema.nullable(),
  nonce: nonceSchema,
};

/** The first message of the connecting side. */
export const helloSchema = z.object({
  kind: z.literal("hello"),
  ...identityFields,
});

/** The answer to a hello, with the proof of the side connected to. */
export const challengeSchema = z.object({
  kind: z.literal("challenge"),
  ...identityFields,
  proof: proofSchema,
});

/** The proof of the connecting side. */
export const proofMessageSchema = z.object({
  kind: z.literal("proof"),
  proof: proofSchema,
});

/** The refusal of a handshake, with its reason. */
export const refusedSchema = z.object({
  kind: z.literal("refused"),
  reason: z.enum(["protocol", "deployment", "proof", "same_vm", "full"]),
});

/** Schema of every message of the handshake. */
export const handshakeSchema = z.discriminatedUnion("kind", [
  helloSchema,
  challengeSchema,
  proofMessageSchema,
  refusedSchema,
]);

const membershipFields = {
  sequence: sequenceSchema,
  from: memberUpdateSchema,
  loadShare: z.number().min(0).max(1000),
  updates: z.array(memberUpdateSchema).max(MAX_UPDATES).readonly(),
};

const membershipMessageSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("probe"), ...membershipFields }),
  z.object({ kind: z.literal("ack"), ...membershipFields }),
  z.object({
    kind: z.literal("probe_request"),
    target: nameSchema,
    ...membershipFields,
  }),
]);

const entrySchema: z.ZodType<RawEntry> = z.object({
  /** -1 for a part of a checkpoint, which precedes every record. */
  offset: z.number().int().min(-1),
  payload: z.string(),
});

const freshnessFields = {
  /** The sender's position in the control stream. */
  position: countSchema,
  /** Milliseconds since the sender's copy was last known to be complete. */
  ageMs: z.number().min(0).max(MAX_AGE_MS),
};

const querySchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("entries_after"),
    position: countSchema,
    limit: z.number().int().min(1).max(MAX_ENTRIES_PER_ANSWER),
  }),
  z.object({ kind: z.literal("hold_bill"), bill: billSchema }),
  z.object({ kind: z.literal("drop_bill"), requestId: identifierSchema }),
  z.object({ kind: z.literal("members") }),
  /** Updates between gateways; their receiver checks the contents. */
  z.object({ kind: z.literal("exchange"), news: z.unknown() }),
]);

const answerSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("entries"),
    ...freshnessFields,
    entries: z.array(entrySchema).max(MAX_ENTRIES_WITH_CHECKPOINT).readonly(),
  }),
  z.object({ kind: z.literal("held"), isHeld: z.boolean() }),
  z.object({ kind: z.literal("dropped") }),
  z.object({
    kind: z.literal("members"),
    ...freshnessFields,
    members: z.array(memberUpdateSchema).max(MAX_MEMBERS).readonly(),
  }),
  z.object({ kind: z.literal("exchanged"), news: z.unknown() }),
  z.object({ kind: z.literal("unfit"), reason: z.string().max(256) }),
]);

/** Schema of every message after the handshake. */
export const peerMessageSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("membership"),
    ...freshnessFields,
    message: membershipMessageSchema,
  }),
  z.object({ kind: z.literal("ask"), id: sequenceSchema, ask: querySchema }),
  z.object({
    kind: z.literal("answer"),
    id: sequenceSchema,
    answer: answerSchema,
  }),
]);

/** The first message of the connecting side. */
export type Hello = Readonly<z.infer<typeof helloSchema>>;
/** The answer to a hello. */
export type Challenge = Readonly<z.infer<typeof challengeSchema>>;
/** Any message of the handshake. */
export type HandshakeMessage = Readonly<z.infer<typeof handshakeSchema>>;
/** Any message after the handshake. */
export type PeerMessage = Readonly<z.infer<typeof peerMessageSchema>>;
/** A query of one process to another. */
export type Query = Readonly<z.infer<typeof querySchema>>;
/** The answer to a query. */
export type Answer = Readonly<z.infer<typeof answerSchema>>;

/** Validates a frame of the handshake; fails with `frame_malformed`. */
export function parseHandshake(
  value: unknown,
): Result<HandshakeMessage, WireError> {
  return parse(handshakeSchema, value);
}

/** Validates a frame after the handshake; fails with `frame_malformed`. */
export function parsePeerMessage(
  value: unknown,
): Result<PeerMessage, WireError> {
  return parse(peerMessageSchema, value);
}

function parse<Message>(
  schema: z.ZodType<Message>,
  value: unknown,
): Result<Message, WireError> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const issue = parsed.error.issues[0];
  const path = issue?.path.join(".") ?? "";
  return err(
    new WireError("frame_malformed", `${path}: ${issue?.message ?? ""}`),
  );
}
