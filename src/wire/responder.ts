/**
 * Answers what peers and the VM's own controller ask. Each answer is bounded
 * and given at once; nothing waits here.
 */
import { type MemberUpdate } from "../decision/mod.ts";
import { type RawEntry, RECORD_FORMAT, type RecordOf } from "../state/mod.ts";
import { encodeFrame, MAX_FRAME_BYTES } from "./frame.ts";
import { type PeerIdentity } from "./handshake.ts";
import { type Answer, type Query } from "./message.ts";
import { boundedFreshnessOf, type RecordSource } from "./record_exchange.ts";

/** Half a frame, so that an answer's other fields always fit. */
const MAX_ENTRIES_BYTES = MAX_FRAME_BYTES / 2;

/** Holds bills of other VMs until these have them in the log. */
export interface PeerBillStore {
  /** Whether the bill is now held; false when there is no room. */
  hold(vm: string, bill: RecordOf<"bill">): boolean;
  drop(vm: string, requestId: string): void;
}

/** Takes a peer's news and gives this VM's own. */
export type ExchangeUpdates = (vm: string, news: unknown) => unknown;

/** What a responder answers from. */
export interface ResponderOptions {
  readonly records: RecordSource;
  readonly bills: PeerBillStore;
  readonly members: () => MemberUpdate[];
  readonly exchange: ExchangeUpdates;
}

/** Answers questions of other processes. */
export class Responder {
  readonly #options: ResponderOptions;

  constructor(options: ResponderOptions) {
    this.#options = options;
  }

  /** The answer to one question. */
  answer(peer: PeerIdentity, ask: Query): Answer {
    const { records, bills, members } = this.#options;
    switch (ask.kind) {
      case "entries_after":
        return this.#entriesAfter(peer, ask);
      case "hold_bill":
        return { kind: "held", isHeld: bills.hold(peer.vm, ask.bill) };
      case "drop_bill":
        bills.drop(peer.vm, ask.requestId);
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
          news: this.#options.exchange(peer.vm, ask.news),
        };
    }
  }

  #entriesAfter(
    peer: PeerIdentity,
    ask: Query & { readonly kind: "entries_after" },
  ): Answer {
    if (peer.recordFormat !== RECORD_FORMAT) {
      return { kind: "unfit", reason: `record format ${peer.recordFormat}` };
    }
    const { records } = this.#options;
    const entries = records.recordsAfter(ask.position, ask.limit);
    return {
      kind: "entries",
      ...boundedFreshnessOf(records),
      entries: longestFittingPrefix(entries),
    };
  }
}

/** The longest run of entries, from the first, that fits into an answer. */
function longestFittingPrefix(
  entries: readonly RawEntry[],
): readonly RawEntry[] {
  let kept = entries;
  while (kept.length > 0) {
    const frame = encodeFrame(kept);
    if (frame.isOk() && frame.value.byteLength <= MAX_ENTRIES_BYTES) {
      return kept;
    }
    kept = kept.slice(0, Math.floor(kept.length / 2));
  }
  return kept;
}
