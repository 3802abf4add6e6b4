/**
 * The tally of one VM in the messages between gateways. A store reader receives
 * those of all VMs several times a second while a roll-out is open, so the
 * counts of times, by far the most numbers, are checked without zod.
 */
import { z } from "zod";
import {
  type GroupedTimeCounts,
  MAX_TIME_BUCKETS,
  type RouteTallies,
} from "../../decision/mod.ts";
import { type VmTally } from "../rollout/rollout_record.ts";

const MAX_KEY_LENGTH = 255;
const MAX_FAILING_IDS = 64;

const nameSchema = z.string().min(1).max(MAX_KEY_LENGTH);
const countSchema = z.number().int().nonnegative();

const logSumsSchema = z.object({
  count: countSchema,
  logSum: z.number(),
  logSquareSum: z.number().nonnegative(),
});

const routeTallySchema = z.object({
  count: countSchema,
  errorCount: countSchema,
  logMsSum: z.number(),
  /** Absent from VMs of an earlier release: no scatter is known. */
  logMsSquareSum: z.number().nonnegative().optional(),
}).transform(({ count, errorCount, logMsSum, logMsSquareSum }) => ({
  count,
  errorCount,
  logSum: logMsSum,
  logSquareSum: logMsSquareSum ?? logMsSum ** 2 / Math.max(1, count),
}));

const errorTallySchema = z.object({
  count: countSchema,
  errorCount: countSchema,
}).default({ count: 0, errorCount: 0 });

const groupedTimesSchema = z.custom<GroupedTimeCounts>(isGroupedTimes);

/** Schema of the tally of one VM. */
export const vmTallySchema = z.object({
  vm: nameSchema,
  sequence: countSchema,
  otherInFlightCount: countSchema,
  tally: z.object({
    target: z.record(nameSchema, routeTallySchema),
    others: z.record(nameSchema, routeTallySchema),
    failingIds: z.array(nameSchema).max(MAX_FAILING_IDS).readonly(),
    /** Absent from VMs of an earlier release. */
    busyTarget: errorTallySchema,
    busyOthers: errorTallySchema,
    targetTimes: groupedTimesSchema.default({}),
    otherTimes: groupedTimesSchema.default({}),
    targetPaces: z.record(nameSchema, logSumsSchema).default({}),
    otherPaces: z.record(nameSchema, logSumsSchema).default({}),
    pacedIds: z.array(nameSchema).max(MAX_FAILING_IDS).readonly().default([]),
  }),
});

/** Encodes the tally of one VM for the wire. */
export function encodeVmTally(vmTally: VmTally): unknown {
  return {
    ...vmTally,
    tally: {
      ...vmTally.tally,
      target: encodeRoutes(vmTally.tally.target),
      others: encodeRoutes(vmTally.tally.others),
    },
  };
}

function isGroupedTimes(value: unknown): boolean {
  if (typeof value !== "object" || value === null) return false;
  const prototype: unknown = Object.getPrototypeOf(value);
  if (prototype !== Object.prototype && prototype !== null) return false;
  for (const [group, counts] of Object.entries(value)) {
    const { length } = group;
    if (length === 0 || length > MAX_KEY_LENGTH) return false;
    if (group === "__proto__" || !isTimeCounts(counts)) return false;
  }
  return true;
}

function isTimeCounts(value: unknown): boolean {
  if (!Array.isArray(value) || value.length > MAX_TIME_BUCKETS) return false;
  for (const count of value) {
    if (!Number.isSafeInteger(count) || count < 0) return false;
  }
  return true;
}

function encodeRoutes(tallies: RouteTallies): Record<string, unknown> {
  const encoded: Record<string, unknown> = {};
  for (const [route, tally] of Object.entries(tallies)) {
    const { count, errorCount, logSum, logSquareSum } = tally;
    encoded[route] = {
      count,
      errorCount,
      logMsSum: logSum,
      logMsSquareSum: Math.max(0, logSquareSum),
    };
  }
  return encoded;
}
