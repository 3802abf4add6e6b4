/**
 * Typed records of the platform's log. Each record has an id, so that a record
 * appended twice counts once. A log entry is a batch of records of one stream.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import {
  identifierSchema,
  REQUEST_CLASSES,
  requestClassSchema,
  settingsChangeSchema,
  settingsPathSchema,
  versionNameSchema,
} from "../model/mod.ts";
import { MAX_BATCH_RECORDS } from "./position.ts";

/** The version of the record format that this release writes. */
export const RECORD_FORMAT = 1;

const positionSchema = z.number().int().min(0);
const textSchema = z.string().max(512);
const countSchema = z.number().int().min(0);
const head = { id: identifierSchema };

/** An operator's edit of one node, made against revision `base`. */
export const editSchema = z.strictObject({
  ...head,
  kind: z.literal("edit"),
  path: settingsPathSchema,
  change: settingsChangeSchema,
  base: positionSchema,
  author: textSchema,
  note: textSchema,
});

/** Acquisition or renewal of a lease; `after` is the record it follows. */
export const leaseSchema = z.strictObject({
  ...head,
  kind: z.literal("lease"),
  name: identifierSchema,
  holder: identifierSchema,
  ttlMs: z.number().int().min(1),
  after: positionSchema,
});

/** The holder's release of a lease acquired at `after`. */
export const leaseReleaseSchema = z.strictObject({
  ...head,
  kind: z.literal("lease_release"),
  name: identifierSchema,
  holder: identifierSchema,
  after: positionSchema,
});

/** Sums of the ratings of one class. */
export const classRatingsSchema = z.strictObject({
  requestClass: requestClassSchema,
  count: countSchema,
  scoreSum: z.number().min(0),
  scoreSquareSum: z.number().min(0),
});

/** One step of a roll-out; it counts only when `after` is the last one. */
export const rolloutStepSchema = z.strictObject({
  ...head,
  kind: z.literal("rollout_step"),
  rollout: identifierSchema,
  version: versionNameSchema,
  after: positionSchema,
  verdict: z.enum(["start", "advance", "withdraw", "complete"]),
  stepIndex: countSchema,
  reason: textSchema,
  /** The version's ratings by class when the step was taken. */
  ratings: z.array(classRatingsSchema).max(REQUEST_CLASSES.length).optional(),
});

/** One VM's ratings of a version so far; the newest of each VM counts. */
export const qualitySchema = z.strictObject({
  ...head,
  kind: z.literal("quality"),
  vm: identifierSchema,
  version: versionNameSchema,
  requestClass: requestClassSchema,
  count: countSchema,
  scoreSum: z.number().min(0),
  scoreSquareSum: z.number().min(0),
});

/** One VM's counts of a window of the burn report. */
export const burnSchema = z.strictObject({
  ...head,
  kind: z.literal("burn"),
  vm: identifierSchema,
  workspace: settingsPathSchema,
  requestClass: requestClassSchema,
  windowStartMs: z.number().int(),
  windowMs: z.number().int().min(1),
  good: countSchema,
  refused: countSchema,
  late: countSchema,
  lost: countSchema,
  badVersion: countSchema,
});

/** The most characters of state in one part of a checkpoint. */
export const MAX_PART_CHARS = 65_536;

/** The most parts of one checkpoint. */
export const MAX_PARTS = 1024;

/** What a workspace has been billed in all; the greatest bill count counts. */
export const spendSchema = z.strictObject({
  ...head,
  kind: z.literal("spend"),
  workspace: settingsPathSchema,
  billCount: countSchema,
  priceMicroEur: countSchema,
});

/** One part of a checkpoint of its own stream's state up to `covers`. */
export const checkpointSchema = z.strictObject({
  ...head,
  kind: z.literal("checkpoint"),
  /** The same in all parts of one checkpoint. */
  checkpointId: identifierSchema,
  covers: positionSchema,
  part: countSchema,
  parts: z.number().int().min(1).max(MAX_PARTS),
  data: z.string().max(MAX_PART_CHARS),
});

/** The version of a session; the first record for a session wins. */
export const pinSchema = z.strictObject({
  ...head,
  kind: z.literal("pin"),
  session: settingsPathSchema,
  version: versionNameSchema,
});

/** A claim to run the request of an idempotency key. */
export const claimSchema = z.strictObject({
  ...head,
  kind: z.literal("claim"),
  workspace: settingsPathSchema,
  key: identifierSchema,
  requestId: identifierSchema,
  bodyHash: textSchema,
  vm: identifierSchema,
});

/** How a claimed request ended; `not_run` frees the key. */
export const outcomeSchema = z.strictObject({
  ...head,
  kind: z.literal("outcome"),
  workspace: settingsPathSchema,
  key: identifierSchema,
  claimId: identifierSchema,
  result: z.enum(["done", "not_run", "unknown"]),
  status: z.number().int(),
  contentType: textSchema,
  bodyBase64: z.string(),
});

/** One attempt on a bill. */
export const billLineSchema = z.strictObject({
  version: versionNameSchema,
  inputTokens: countSchema,
  outputTokens: countSchema,
  priceMicroEur: countSchema,
});

/** The bill of one request; `src/state/ledger.ts` says which record counts. */
export const billSchema = z.strictObject({
  ...head,
  kind: z.literal("bill"),
  requestId: identifierSchema,
  workspace: settingsPathSchema,
  requestClass: requestClassSchema.or(z.literal("service")),
  /** Whether the answer was whole; a part is billed when its caller leaves. */
  isWhole: z.boolean(),
  lines: z.array(billLineSchema).max(16),
  priceMicroEur: countSchema,
  vm: identifierSchema,
});

/** Codec of any record. */
export const recordSchema = z.discriminatedUnion("kind", [
  editSchema,
  leaseSchema,
  leaseReleaseSchema,
  rolloutStepSchema,
  qualitySchema,
  burnSchema,
  spendSchema,
  checkpointSchema,
  pinSchema,
  claimSchema,
  outcomeSchema,
  billSchema,
]);

/** Any record of the log. */
export type LogRecord = Readonly<z.infer<typeof recordSchema>>;
/** The name of a kind of record. */
export type RecordKind = LogRecord["kind"];
/** The record of one kind. */
export type RecordOf<Kind extends RecordKind> = Extract<
  LogRecord,
  { kind: Kind }
>;

/** The families of streams. Requests and bills are split into shards. */
export type StreamFamily = "control" | "requests" | "bills";

/** The family of streams that a kind of record is appended to. */
export function familyOf(kind: RecordKind): StreamFamily {
  if (kind === "bill") return "bills";
  if (kind === "pin" || kind === "claim" || kind === "outcome") {
    return "requests";
  }
  return "control";
}

/** One entry of the log before its payload is decoded. */
export interface RawEntry {
  readonly offset: number;
  readonly payload: string;
}

/** One entry of the log as read: its offset and the records it carries. */
export interface LogEntry {
  readonly offset: number;
  readonly records: readonly (LogRecord | SkippedRecord)[];
}

/** A record that this release cannot read; all VMs skip it alike. */
export interface SkippedRecord {
  readonly kind: "skipped";
  readonly reason: string;
}

const batchSchema = z.object({
  format: z.number().int(),
  records: z.array(z.unknown()).max(MAX_BATCH_RECORDS),
});

/** Encodes a batch of records as the payload of one log entry. */
export function encodeBatch(records: readonly LogRecord[]): string {
  return JSON.stringify({ format: RECORD_FORMAT, records });
}

/**
 * Decodes the payload of a log entry. A payload that is no batch yields one
 * skipped record, so that replay goes on alike on every VM.
 */
export function decodeEntry(offset: number, payload: string): LogEntry {
  return decodeBatch(payload).match(
    (records) => ({ offset, records }),
    (reason) => ({ offset, records: [{ kind: "skipped", reason }] }),
  );
}

function decodeBatch(
  payload: string,
): Result<(LogRecord | SkippedRecord)[], string> {
  const json = parseJson(payload);
  if (json.isErr()) return err(json.error);
  const batch = batchSchema.safeParse(json.value);
  if (!batch.success) return err("the payload is not a batch of records");
  if (batch.data.format !== RECORD_FORMAT) {
    return err(`record format ${batch.data.format} is unknown`);
  }
  return ok(batch.data.records.map(decodeRecord));
}

function decodeRecord(value: unknown): LogRecord | SkippedRecord {
  const parsed = recordSchema.safeParse(value);
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  const where = issue?.path.join(".") ?? "";
  return { kind: "skipped", reason: `${where}: ${issue?.message ?? ""}` };
}

function parseJson(text: string): Result<unknown, string> {
  try {
    return ok(JSON.parse(text));
  } catch {
    return err("the payload is not JSON");
  }
}
