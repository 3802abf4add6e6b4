/**
 * Codec of recorded traces: JSON lines, each a log entry or a decision with its
 * expected outcome in `stated`. A trace is replayed without sockets or clocks;
 * its times are relative to its start.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import {
  identifierSchema,
  requestClassSchema,
  settingsPathSchema,
  versionNameSchema,
} from "../model/mod.ts";

const countSchema = z.number().int().min(0);
const timeMsSchema = z.number().min(0);

const observationSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("list"),
    status: z.enum(["live", "leaving", "absent"]),
  }),
  z.strictObject({ kind: z.literal("own_word"), isLeaving: z.boolean() }),
  z.strictObject({ kind: z.literal("probe"), isAnswered: z.boolean() }),
]);

const frameSchema = z.strictObject({
  requestId: identifierSchema,
  attempt: countSchema,
  index: countSchema,
  text: z.string(),
  isLast: z.boolean(),
});

const serverSchema = z.strictObject({
  server: z.string(),
  place: z.string(),
  versions: z.array(versionNameSchema),
  isTakingWork: z.boolean(),
  isBreakerOpen: z.boolean(),
  runningCount: countSchema,
  queuedCount: countSchema,
  slotCount: z.number().int().min(1),
  delayMs: timeMsSchema,
});

/** Codec of one line of a trace. */
export const traceEventSchema = z.discriminatedUnion("event", [
  /** A log entry, as every VM reads it. */
  z.strictObject({
    event: z.literal("entry"),
    stream: z.string(),
    offset: countSchema,
    payload: z.string(),
  }),
  /** Verdict on a settings edit. */
  z.strictObject({
    event: z.literal("edit"),
    id: identifierSchema,
    stated: z.enum(["accepted", "conflict", "invalid"]),
  }),
  /** Current revision of the settings. */
  z.strictObject({ event: z.literal("revision"), stated: countSchema }),
  /** Whether a version may receive new work. */
  z.strictObject({
    event: z.literal("may_start"),
    path: settingsPathSchema,
    version: versionNameSchema,
    stated: z.boolean(),
  }),
  /** First version that a request runs on, or the reason of its refusal. */
  z.strictObject({
    event: z.literal("choose"),
    path: settingsPathSchema,
    requestClass: requestClassSchema,
    key: z.string(),
    isInSession: z.boolean(),
    stated: z.string(),
  }),
  /** Version to which a session is pinned; empty for none. */
  z.strictObject({
    event: z.literal("pin"),
    stream: z.string(),
    session: settingsPathSchema,
    stated: z.string(),
  }),
  /** Request that claimed a key, and its result; empty while it runs. */
  z.strictObject({
    event: z.literal("claim"),
    stream: z.string(),
    workspace: settingsPathSchema,
    key: identifierSchema,
    stated: z.strictObject({ requestId: z.string(), result: z.string() }),
  }),
  /** Price billed for a request and the number of bills of its workspace. */
  z.strictObject({
    event: z.literal("bill"),
    stream: z.string(),
    requestId: identifierSchema,
    workspace: settingsPathSchema,
    stated: z.strictObject({
      priceMicroEur: countSchema,
      billCount: countSchema,
    }),
  }),
  /** Text relayed to the caller when the frames arrive in this order. */
  z.strictObject({
    event: z.literal("frames"),
    requestId: identifierSchema,
    attempt: countSchema,
    frames: z.array(frameSchema),
    stated: z.strictObject({ text: z.string(), isWhole: z.boolean() }),
  }),
  /** Whether a server receives new work after these observations. */
  z.strictObject({
    event: z.literal("server_status"),
    server: z.string(),
    place: z.string(),
    signs: z.array(
      z.strictObject({ atMs: timeMsSchema, sign: observationSchema }),
    ),
    nowMs: timeMsSchema,
    stated: z.boolean(),
  }),
  /** Chosen server as a list; empty for none. */
  z.strictObject({
    event: z.literal("route"),
    version: versionNameSchema,
    requestClass: requestClassSchema,
    leftMs: timeMsSchema,
    random: z.number().min(0).max(0.999999),
    servers: z.array(serverSchema),
    stated: z.array(z.string()),
  }),
  /** Outcome reported to a caller whose request failed. */
  z.strictObject({
    event: z.literal("refusal"),
    hasRun: z.boolean(),
    isKeyed: z.boolean(),
    stated: z.enum(["not_run", "may_have_run", "failed"]),
  }),
]);

/** One line of a trace. */
export type TraceEvent = Readonly<z.infer<typeof traceEventSchema>>;
/** Trace line with the given event name. */
export type TraceEventOf<Name extends TraceEvent["event"]> = Extract<
  TraceEvent,
  { event: Name }
>;

/** Invalid line of a trace. */
export class TraceError extends Error {
  override readonly name = "TraceError";
}

/** Parses one line of a trace. */
export function parseTraceEvent(line: string): Result<TraceEvent, TraceError> {
  try {
    const parsed = traceEventSchema.safeParse(JSON.parse(line));
    if (parsed.success) return ok(parsed.data);
    const issue = parsed.error.issues[0];
    const path = issue?.path.join(".") ?? "";
    return err(new TraceError(`${path}: ${issue?.message ?? ""}`));
  } catch {
    return err(new TraceError("the line is not JSON"));
  }
}
