/**
 * Request counts against the service-level objectives, by VM, workspace, class
 * and window. Times are wall-clock times: they label windows in reports and
 * never affect how requests are handled.
 */
import { z } from "zod";
import { objectiveSchema, settingsPathSchema } from "../model/mod.ts";
import { burnSchema, type RecordOf } from "../state/mod.ts";

/** Wall-clock time in milliseconds since 1970. */
export type WallClock = () => number;

/** Ways in which a request misses its objective. */
export const BURN_CAUSES = ["refused", "late", "lost", "badVersion"] as const;

/** One of {@link BURN_CAUSES}. */
export type BurnCause = (typeof BURN_CAUSES)[number];
/** Result of a request relative to its objective. */
export type BurnOutcome = "good" | BurnCause;
/** Requests by outcome. */
export type BurnCounts = Readonly<Record<BurnOutcome, number>>;
/** Request counts of one VM, workspace and class in one window. */
export type BurnWindow = Omit<RecordOf<"burn">, "id" | "kind">;

/** Length of the windows recorded in the log. */
export const RECORD_WINDOW_MS = 3_600_000;
/** Length of the windows that a running VM reports. */
export const LIVE_WINDOW_MS = 300_000;

export const NO_COUNTS: BurnCounts = {
  good: 0,
  refused: 0,
  late: 0,
  lost: 0,
  badVersion: 0,
};

export const burnWindowSchema = burnSchema.omit({ id: true, kind: true });

/** Codec of the counts that an entry VM reports for itself. */
export const vmBurnSchema = z.object({
  vm: z.string(),
  startedAtMs: z.number(),
  nowMs: z.number(),
  /** Windows that are not yet in the log, including the open one. */
  unrecorded: z.array(burnWindowSchema),
  /** Short windows of the last hour. */
  recent: z.array(burnWindowSchema),
  /** Windows dropped because too many were waiting to be recorded. */
  droppedCount: z.number().int().min(0),
});

/** Codec of all VMs' counts in the log and of the workspaces' objectives. */
export const burnHistorySchema = z.object({
  records: z.array(burnWindowSchema),
  /** Whether older records may have been evicted. */
  isFull: z.boolean(),
  objectives: z.array(
    z.object({ workspace: settingsPathSchema, objective: objectiveSchema }),
  ),
});

/** Counts that an entry VM reports for itself. */
export type VmBurn = Readonly<z.infer<typeof vmBurnSchema>>;
/** Recorded counts of all VMs. */
export type BurnHistory = Readonly<z.infer<typeof burnHistorySchema>>;

export function addCounts(a: BurnCounts, b: BurnCounts): BurnCounts {
  return {
    good: a.good + b.good,
    refused: a.refused + b.refused,
    late: a.late + b.late,
    lost: a.lost + b.lost,
    badVersion: a.badVersion + b.badVersion,
  };
}

/** Returns the number of requests with any outcome. */
export function totalOf(counts: BurnCounts): number {
  const { good, refused, late, lost, badVersion } = counts;
  return good + refused + late + lost + badVersion;
}
