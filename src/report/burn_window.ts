/**
 * Counts of requests against the service-level objectives, by VM, workspace,
 * class and window. Times here are wall-clock times: they label windows for the
 * reader and decide nothing.
 */
import { z } from "zod";
import { objectiveSchema, settingsPathSchema } from "../model/mod.ts";
import { burnSchema, type RecordOf } from "../state/mod.ts";

/** Wall-clock time in milliseconds since 1970. */
export type WallClock = () => number;

/** How a request may miss its objective. */
export const BURN_CAUSES = ["refused", "late", "lost", "badVersion"] as const;

/** One of {@link BURN_CAUSES}. */
export type BurnCause = (typeof BURN_CAUSES)[number];
/** How a request ended, measured by its objective. */
export type BurnOutcome = "good" | BurnCause;
/** Requests by outcome. */
export type BurnCounts = Readonly<Record<BurnOutcome, number>>;
/** One VM's counts of one window. */
export type BurnWindow = Omit<RecordOf<"burn">, "id" | "kind">;

/** The window that records carry. */
export const RECORD_WINDOW_MS = 3_600_000;
/** The window that a live VM tells. */
export const LIVE_WINDOW_MS = 300_000;

/** No requests. */
export const NO_COUNTS: BurnCounts = {
  good: 0,
  refused: 0,
  late: 0,
  lost: 0,
  badVersion: 0,
};

/** Codec of one window. */
export const burnWindowSchema = burnSchema.omit({ id: true, kind: true });

/** Codec of what one entry VM tells of itself. */
export const vmBurnSchema = z.object({
  vm: z.string(),
  startedAtMs: z.number(),
  nowMs: z.number(),
  /** Windows that are not yet in the log, the running one among them. */
  unrecorded: z.array(burnWindowSchema),
  /** Short windows of the last hour. */
  recent: z.array(burnWindowSchema),
  /** Windows lost because too many waited for the log. */
  droppedCount: z.number().int().min(0),
});

/** Codec of what any entry VM tells of all, from the log. */
export const burnHistorySchema = z.object({
  records: z.array(burnWindowSchema),
  /** Whether older records had to be let go. */
  isFull: z.boolean(),
  objectives: z.array(
    z.object({ workspace: settingsPathSchema, objective: objectiveSchema }),
  ),
});

/** What one entry VM tells of itself. */
export type VmBurn = Readonly<z.infer<typeof vmBurnSchema>>;
/** What any entry VM tells of all. */
export type BurnHistory = Readonly<z.infer<typeof burnHistorySchema>>;

/** The sum of two counts. */
export function addCounts(a: BurnCounts, b: BurnCounts): BurnCounts {
  return {
    good: a.good + b.good,
    refused: a.refused + b.refused,
    late: a.late + b.late,
    lost: a.lost + b.lost,
    badVersion: a.badVersion + b.badVersion,
  };
}

/** All requests of a count. */
export function totalOf(counts: BurnCounts): number {
  const { good, refused, late, lost, badVersion } = counts;
  return good + refused + late + lost + badVersion;
}
