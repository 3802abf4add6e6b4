/** The parts of a peer node that a process without a log of its own leaves out. */
import { type RecordSource } from "./record_exchange.ts";
import { type PeerBillStore } from "./responder.ts";

/** A source without records. */
export const NO_RECORDS: RecordSource = {
  freshness: () => ({ position: 0, ageMs: 0 }),
  recordsAfter: () => [],
  offer: () => {},
};

/** Holds no bills. */
export const NO_BILLS: PeerBillStore = {
  hold: () => false,
  drop: () => {},
};
