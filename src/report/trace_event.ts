/**
 * Codec of recorded traces: JSON lines, each an entry of the log or a decision
 * with the outcome that was stated for it. A trace is replayed without sockets
 * or clocks; times in it count from its own start.
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
  /** One entry of the log, as every VM reads it. */
  z.strictObject({
    event: z.literal("entry"),
    stream: z.string(),
    offset: countSchema,
    payload: z.string(),
  }),
  /** How an edit was decided. */
  z.strictObject({
    event: z.literal("edit"),
    id: identifierSchema,
    stated: z.enum(["accepted", "conflict", "invalid"]),
  }),
  /** The revision in force. */
  z.strictObject({ event: z.literal("revision"), stated: countSchema }),
  /** Whether new work may run on a version. */
  z.strictObject({
    event: z.literal("may_start"),
    path: settingsPathSchema,
    version: versionNameSchema,
    stated: z.boolean(),
  }),
  /** The first version that a request runs on, or why it is refused. */
  z.strictObject({
    event: z.literal("choose"),
    path: settingsPathSchema,
    requestClass: requestClassSchema,
    key: z.string(),
    isInSession: z.boolean(),
    stated: z.string(),
  }),
  /** The version that a session keeps; empty for none. */
  z.strictObject({
    event: z.literal("pin"),
    stream: z.string(),
    session: settingsPathSchema,
    stated: z.string(),
  }),
  /** The request that holds a key, and how it ended; empty while it runs. */
  z.strictObject({
    event: z.literal("claim"),
    stream: z.string(),
    workspace: settingsPathSchema,
    key: identifierSchema,
    stated: z.strictObject({ requestId: z.string(), result: z.string() }),
  }),
  /** What a request is billed and how many bills its workspace has. */
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
  /** The text relayed when these frames arrive in this order. */
  z.strictObject({
    event: z.literal("frames"),
    requestId: identifierSchema,
    attempt: countSchema,
    frames: z.array(frameSchema),
    stated: z.strictObject({ text: z.string(), isWhole: z.boolean() }),
  }),
  /** Whether a server receives new work after these signs. */
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
  /** The servers that may be chosen; empty for none. */
  z.strictObject({
    event: z.literal("route"),
    version: versionNameSchema,
    requestClass: requestClassSchema,
    leftMs: timeMsSchema,
    random: z.number().min(0).max(0.999999),
    servers: z.array(serverSchema),
    stated: z.array(z.string()),
  }),
  /** What a refused caller is told. */
  z.strictObject({
    event: z.literal("refusal"),
    hasRun: z.boolean(),
    isKeyed: z.boolean(),
    stated: z.enum(["not_run", "may_have_run", "failed"]),
  }),
]);

/** One line of a trace. */
export type TraceEvent = Readonly<z.infer<typeof traceEventSchema>>;
/** The line of one event. */
export type TraceEventOf<Name extends TraceEvent["event"]> = Extract<
  TraceEvent,
  { event: Name }
>;

/** A line of a trace that cannot be read. */
export class TraceError extends Error {
  override readonly name = "TraceError";
}

/** Reads one line of a trace. */
export function parseTraceEvent(line: string): Result<TraceEvent, TraceError> {
  try {
    const parsed = traceEventSchema.safeParse(JSON.parse(line));
    if (parsed.success) return ok(parsed.data);
    const issue = parsed.error.issues[0];
    const where = issue?.path.join(".") ?? "";
    return err(new TraceError(`${where}: ${issue?.message ?? ""}`));
  } catch {
    return err(new TraceError("the line is not JSON"));
  }
}
