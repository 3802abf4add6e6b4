/**
 * How an order that is read relates to those that are known. Within an era the
 * newest position is in force, whatever it orders: a version may be ordered
 * again after it was reverted or completed. An order's position does not
 * survive a restoration of the store: the copy has it at the same offset of the
 * next era, or it was lost and is written again at another one. So an order of a
 * newer era is known by its content.
 */
import { type RolloutOrder } from "../../model/mod.ts";
import { eraOf, offsetOf } from "../store/store_position.ts";

/** An order that is in force. */
export interface KnownOrder {
  readonly order: RolloutOrder;
  /** The newest position at which it was read. */
  readonly position: number;
  /** Whether it was there found in a copy, and may be written again. */
  readonly isCopied: boolean;
}

/**
 * `old`: changes nothing. `again`: the order in force, at a newer position.
 * `new`: takes the place of the one in force.
 */
export type OrderRelation = "old" | "again" | "new";

/** Relates an order to the one in force and to those before it. */
export function relateOrder(
  order: RolloutOrder,
  { current, earlier }: {
    readonly current: KnownOrder | undefined;
    /** Orders of the service that later ones have replaced. */
    readonly earlier: readonly RolloutOrder[];
  },
): OrderRelation {
  if (current === undefined) return "new";
  const { position, isCopied } = current;
  if (order.offset <= position) return "old";
  const isOtherEra = eraOf(order.offset) !== eraOf(position);
  // The copy is from before the order in force, which is written again.
  if (isOtherEra && earlier.some((one) => isCopyOf(order, one))) return "old";
  if (!isSameOrder(order, current.order)) return "new";
  return isOtherEra || isCopied ? "again" : "new";
}

function isSameOrder(a: RolloutOrder, b: RolloutOrder): boolean {
  return a.service === b.service && a.target === b.target &&
    a.durationMs === b.durationMs;
}

function isCopyOf(order: RolloutOrder, known: RolloutOrder): boolean {
  return isSameOrder(order, known) &&
    offsetOf(order.offset) === offsetOf(known.offset);
}
