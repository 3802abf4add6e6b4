/**
 * Typed records of the platform's log. Each record has an id, so that a record
 * appended twice counts once. A log entry holds a batch of records of one
 * stream.
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

/** Version of the record format that this release reads and writes. */
export const RECORD_FORMAT = 1;

const positionSchema = z.number().int().min(0);
const textSchema = z.string().max(512);
const countSchema = z.number().int().min(0);
const baseFields = { id: identifierSchema };

/** An operator's edit of a settings node, based on revision `base`. */
export const editSchema = z.strictObject({
  ...baseFields,
  kind: z.literal("edit"),
  path: settingsPathSchema,
  change: settingsChangeSchema,
  base: positionSchema,
  author: textSchema,
  note: textSchema,
});

/**
 * Acquisition or renewal of a lease. It counts only if `after` is the position
 * of the lease's latest record, or 0 if there is none.
 */
export const leaseSchema = z.strictObject({
  ...baseFields,
  kind: z.literal("lease"),
  name: identifierSchema,
  holder: identifierSchema,
  ttlMs: z.number().int().min(1),
  after: positionSchema,
});

/** Release of a lease whose latest record is at `after`. */
export const leaseReleaseSchema = z.strictObject({
  ...baseFields,
  kind: z.literal("lease_release"),
  name: identifierSchema,
  holder: identifierSchema,
  after: positionSchema,
});

/** Sums of a request class's ratings. */
export const classRatingsSchema = z.strictObject({
  requestClass: requestClassSchema,
  count: countSchema,
  scoreSum: z.number().min(0),
  scoreSquareSum: z.number().min(0),
});

/** A roll-out step; counts only if `after` is the previous step's position. */
export const rolloutStepSchema = z.strictObject({
  ...baseFields,
  kind: z.literal("rollout_step"),
  rollout: identifierSchema,
  version: versionNameSchema,
  after: positionSchema,
  verdict: z.enum(["start", "advance", "withdraw", "complete"]),
  stepIndex: countSchema,
  reason: textSchema,
  /** The version's ratings by class at the time of the step. */
  ratings: z.array(classRatingsSchema).max(REQUEST_CLASSES.length).optional(),
});

/**
 * A VM's cumulative ratings of a version in one class; each record replaces the
 * VM's previous one.
 */
export const qualitySchema = z.strictObject({
  ...baseFields,
  kind: z.literal("quality"),
  vm: identifierSchema,
  version: versionNameSchema,
  requestClass: requestClassSchema,
  count: countSchema,
  scoreSum: z.number().min(0),
  scoreSquareSum: z.number().min(0),
});

/** A VM's counts of requests in one time window of the burn report. */
export const burnSchema = z.strictObject({
  ...baseFields,
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

/** Maximum number of characters of `data` in a part of a checkpoint. */
export const MAX_PART_CHARS = 65_536;

/** Maximum number of parts of a checkpoint. */
export const MAX_PARTS = 1024;

/** A workspace's cumulative billed amount; the highest `billCount` counts. */
export const spendSchema = z.strictObject({
  ...baseFields,
  kind: z.literal("spend"),
  workspace: settingsPathSchema,
  billCount: countSchema,
  priceMicroEur: countSchema,
});

/** Part of a checkpoint of its stream's state up to position `covers`. */
export const checkpointSchema = z.strictObject({
  ...baseFields,
  kind: z.literal("checkpoint"),
  /** Equal in all parts of a checkpoint. */
  checkpointId: identifierSchema,
  covers: positionSchema,
  part: countSchema,
  parts: z.number().int().min(1).max(MAX_PARTS),
  data: z.string().max(MAX_PART_CHARS),
});

/** The version pinned for a session; the first record of a session wins. */
export const pinSchema = z.strictObject({
  ...baseFields,
  kind: z.literal("pin"),
  session: settingsPathSchema,
  version: versionNameSchema,
});

/** A claim to run the request with an idempotency key. */
export const claimSchema = z.strictObject({
  ...baseFields,
  kind: z.literal("claim"),
  workspace: settingsPathSchema,
  key: identifierSchema,
  requestId: identifierSchema,
  bodyHash: textSchema,
  vm: identifierSchema,
});

/** The result of a claimed request; `not_run` allows a new claim of the key. */
export const outcomeSchema = z.strictObject({
  ...baseFields,
  kind: z.literal("outcome"),
  workspace: settingsPathSchema,
  key: identifierSchema,
  claimId: identifierSchema,
  result: z.enum(["done", "not_run", "unknown"]),
  status: z.number().int(),
  contentType: textSchema,
  bodyBase64: z.string(),
});

/** A billed attempt of a request. */
export const billLineSchema = z.strictObject({
  version: versionNameSchema,
  inputTokens: countSchema,
  outputTokens: countSchema,
  priceMicroEur: countSchema,
});

/** The bill of a request; `ledger.ts` decides which of several counts. */
export const billSchema = z.strictObject({
  ...baseFields,
  kind: z.literal("bill"),
  requestId: identifierSchema,
  workspace: settingsPathSchema,
  requestClass: requestClassSchema.or(z.literal("service")),
  /**
   * Whether the answer was complete; a caller that disconnects is billed for
   * the partial answer.
   */
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

export type LogRecord = Readonly<z.infer<typeof recordSchema>>;
export type RecordKind = LogRecord["kind"];
/** The record type of a kind. */
export type RecordOf<Kind extends RecordKind> = Extract<
  LogRecord,
  { kind: Kind }
>;

/** Families of streams; requests and bills are split into shards. */
export type StreamFamily = "control" | "requests" | "bills";

/** Returns the family of streams to which a kind of record is appended. */
export function familyOf(kind: RecordKind): StreamFamily {
  if (kind === "bill") return "bills";
  if (kind === "pin" || kind === "claim" || kind === "outcome") {
    return "requests";
  }
  return "control";
}

/** A log entry with its payload still encoded. */
export interface RawEntry {
  readonly offset: number;
  readonly payload: string;
}

/** A decoded log entry. */
export interface LogEntry {
  readonly offset: number;
  readonly records: readonly (LogRecord | SkippedRecord)[];
}

/** A record that this release cannot read; replay counts and skips it. */
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
 * Decodes the payload of a log entry. A payload that is not a batch yields one
 * skipped record, so that replay continues with the same result on every VM.
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
    return err(`record format ${batch.data.format} is not supported`);
  }
  return ok(batch.data.records.map(decodeRecord));
}

function decodeRecord(value: unknown): LogRecord | SkippedRecord {
  const parsed = recordSchema.safeParse(value);
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  const path = issue?.path.join(".") ?? "";
  return { kind: "skipped", reason: `${path}: ${issue?.message ?? ""}` };
}

function parseJson(text: string): Result<unknown, string> {
  try {
    return ok(JSON.parse(text));
  } catch {
    return err("the payload is not JSON");
  }
}
