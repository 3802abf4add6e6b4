/** Record source and bill store of a node that exchanges neither with peers. */
import { type RecordSource } from "./record_exchange.ts";
import { type PeerBillStore } from "./responder.ts";

export const NO_RECORDS: RecordSource = {
  freshness: () => ({ position: 0, ageMs: 0 }),
  recordsAfter: () => [],
  offer: () => {},
};

/** Refuses every bill. */
export const NO_BILLS: PeerBillStore = {
  hold: () => false,
  drop: () => {},
};
