/**
 * Statuses of roll-outs as tests have them in a topic: like the platform's, they
 * name their order by the offset in the era in which they are read.
 */
import { type RolloutStatus } from "../../model/mod.ts";
import { eraOf, offsetOf, positionOf } from "../store/store_position.ts";
import { type StoreRecord } from "../store/store_record.ts";

/** The key and value of a status. */
export function recordOfStatus(
  status: RolloutStatus,
): { readonly key: string; readonly value: unknown } {
  const orderOffset = offsetOf(status.orderOffset ?? 0);
  return { key: status.service, value: { ...status, orderOffset } };
}

/** Reads a status from a record. */
export function readTestStatus(
  { value, offset }: StoreRecord,
): RolloutStatus | undefined {
  if (value === undefined) return undefined;
  const status = JSON.parse(value.toString());
  const era = eraOf(offset);
  const orderOffset = positionOf({ era, offset: status.orderOffset });
  return { ...status, orderOffset };
}
