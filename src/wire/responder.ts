/**
 * Answers the queries of peers and of the VM's own controller. Answers are
 * bounded in size and are created synchronously.
 */
import { type MemberUpdate } from "../decision/mod.ts";
import { type RawEntry, RECORD_FORMAT, type RecordOf } from "../state/mod.ts";
import { encodeFrame, MAX_FRAME_BYTES } from "./frame.ts";
import { type PeerIdentity } from "./handshake.ts";
import { type Answer, type Query } from "./message.ts";
import { boundedFreshnessOf, type RecordSource } from "./record_exchange.ts";

/** Half a frame, which leaves space for an answer's other fields. */
const MAX_ENTRIES_BYTES = MAX_FRAME_BYTES / 2;

/** Stores bills of other VMs until these have written them to the log. */
export interface PeerBillStore {
  /** Stores a bill; returns `false` when there is no capacity. */
  hold(vm: string, bill: RecordOf<"bill">): boolean;
  drop(vm: string, requestId: string): void;
}

/** Processes the updates of a peer and returns those of this VM. */
export type ExchangeUpdates = (vm: string, updates: unknown) => unknown;

/** The sources of a responder's answers. */
export interface ResponderOptions {
  readonly records: RecordSource;
  readonly bills: PeerBillStore;
  readonly members: () => MemberUpdate[];
  readonly exchange: ExchangeUpdates;
}

/** Answers queries of other processes. */
export class Responder {
  readonly #options: ResponderOptions;

  constructor(options: ResponderOptions) {
    this.#options = options;
  }

  /** Creates the answer to a query. */
  answer(peer: PeerIdentity, query: Query): Answer {
    const { records, bills, members } = this.#options;
    switch (query.kind) {
      case "entries_after":
        return this.#entriesAfter(peer, query);
      case "hold_bill":
        return { kind: "held", isHeld: bills.hold(peer.vm, query.bill) };
      case "drop_bill":
        bills.drop(peer.vm, query.requestId);
        return { kind: "dropped" };
      case "members":
        return {
          kind: "members",
          ...boundedFreshnessOf(records),
          members: members(),
        };
      case "exchange":
        return {
          kind: "exchanged",
          news: this.#options.exchange(peer.vm, query.news),
        };
    }
  }

  #entriesAfter(
    peer: PeerIdentity,
    query: Query & { readonly kind: "entries_after" },
  ): Answer {
    if (peer.recordFormat !== RECORD_FORMAT) {
      return { kind: "unfit", reason: `record format ${peer.recordFormat}` };
    }
    const { records } = this.#options;
    const entries = records.recordsAfter(query.position, query.limit);
    return {
      kind: "entries",
      ...boundedFreshnessOf(records),
      entries: fittingPrefix(entries),
    };
  }
}

/** Halves the number of entries, from the first, until they fit an answer. */
function fittingPrefix(
  entries: readonly RawEntry[],
): readonly RawEntry[] {
  let prefix = entries;
  while (prefix.length > 0) {
    const frame = encodeFrame(prefix);
    if (frame.isOk() && frame.value.byteLength <= MAX_ENTRIES_BYTES) {
      return prefix;
    }
    prefix = prefix.slice(0, Math.floor(prefix.length / 2));
  }
  return prefix;
}
