/** Bills, by replay of the bill streams; the first bill of a request wins. */
import { Map as PersistentMap } from "immutable";
import { type SettingsPath } from "../model/mod.ts";
import { type Position, positionOf, START_POSITION } from "./position.ts";
import { type LogEntry, type RecordOf } from "./record.ts";

/** What a workspace has been billed. */
export interface LedgerTotal {
  readonly billCount: number;
  readonly priceMicroEur: number;
}

/** The bills of one stream. */
export class LedgerState {
  /** Position of the newest record applied. */
  readonly position: Position;
  readonly #bills: PersistentMap<string, RecordOf<"bill">>;
  readonly #totals: PersistentMap<SettingsPath, LedgerTotal>;

  private constructor(
    position: Position,
    bills: PersistentMap<string, RecordOf<"bill">>,
    totals: PersistentMap<SettingsPath, LedgerTotal>,
  ) {
    this.position = position;
    this.#bills = bills;
    this.#totals = totals;
  }

  /** The state before any record. */
  static readonly empty: LedgerState = new LedgerState(
    START_POSITION,
    PersistentMap(),
    PersistentMap(),
  );

  /** The bill that counts for a request. */
  billOf(requestId: string): RecordOf<"bill"> | undefined {
    return this.#bills.get(requestId);
  }

  /** The number of requests billed. */
  get billCount(): number {
    return this.#bills.size;
  }

  /** What a workspace has been billed so far. */
  totalOf(workspace: SettingsPath): LedgerTotal {
    return this.#totals.get(workspace) ?? { billCount: 0, priceMicroEur: 0 };
  }

  /** The state after one log entry; entries at or before it change nothing. */
  apply(entry: LogEntry): LedgerState {
    return LedgerState.#replay(this, entry);
  }

  static #replay(start: LedgerState, entry: LogEntry): LedgerState {
    let state = start;
    for (const [index, record] of entry.records.entries()) {
      const position = positionOf(entry.offset, index);
      if (position <= state.position) continue;
      if (record.kind === "bill") state = state.#withBill(position, record);
      else state = new LedgerState(position, state.#bills, state.#totals);
    }
    return state;
  }

  #withBill(position: Position, bill: RecordOf<"bill">): LedgerState {
    if (this.#bills.has(bill.requestId)) {
      return new LedgerState(position, this.#bills, this.#totals);
    }
    const before = this.totalOf(bill.workspace);
    const total: LedgerTotal = {
      billCount: before.billCount + 1,
      priceMicroEur: before.priceMicroEur + bill.priceMicroEur,
    };
    return new LedgerState(
      position,
      this.#bills.set(bill.requestId, bill),
      this.#totals.set(bill.workspace, total),
    );
  }
}
