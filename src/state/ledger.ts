/**
 * Bills, derived by replay of the bill streams. One bill counts for each
 * request of a workspace: the first for a complete answer or, while there is
 * none, the first for a partial answer. A caller that was disconnected and
 * retries elsewhere thus pays for the answer once and not for the partial
 * answer too. Totals are retained permanently, single bills only in a window of
 * the latest ones. A bill that is appended twice within the window counts once.
 */
import { Map as PersistentMap } from "immutable";
import { type SettingsPath } from "../model/mod.ts";
import { BoundedMap } from "./bounded_map.ts";
import { type Position, positionOf, START_POSITION } from "./position.ts";
import { type LogEntry, type RecordOf } from "./record.ts";

/** Retained bills of a stream; must be equal on every VM. */
export const MAX_BILLS = 50_000;

/** Number and total amount of a workspace's bills. */
export interface LedgerTotal {
  readonly billCount: number;
  readonly priceMicroEur: number;
}

/** Contents of a {@link LedgerState}. */
export interface LedgerFields {
  readonly position: Position;
  readonly billCount: number;
  readonly bills: BoundedMap<string, RecordOf<"bill">>;
  readonly totals: PersistentMap<SettingsPath, LedgerTotal>;
}

/** An immutable ledger of the bills of one stream. */
export class LedgerState {
  /** Contents, for checkpoints. */
  readonly fields: LedgerFields;

  private constructor(fields: LedgerFields) {
    this.fields = fields;
  }

  /** The state before any record. */
  static readonly empty: LedgerState = LedgerState.of({
    position: START_POSITION,
    billCount: 0,
    bills: BoundedMap.create(MAX_BILLS),
    totals: PersistentMap(),
  });

  /** Builds a ledger from its contents. */
  static of(fields: LedgerFields): LedgerState {
    return new LedgerState(fields);
  }

  /** Position of the latest applied record. */
  get position(): Position {
    return this.fields.position;
  }

  /** Returns the bill that counts for a request while it is retained. */
  billOf(
    workspace: SettingsPath,
    requestId: string,
  ): RecordOf<"bill"> | undefined {
    return this.fields.bills.get(billKeyOf({ workspace, requestId }));
  }

  /** Number of billed requests. */
  get billCount(): number {
    return this.fields.billCount;
  }

  /** Returns the number and amount of a workspace's bills. */
  totalOf(workspace: SettingsPath): LedgerTotal {
    return this.fields.totals.get(workspace) ??
      { billCount: 0, priceMicroEur: 0 };
  }

  /** Number and amount of the bills, by workspace. */
  get totals(): PersistentMap<SettingsPath, LedgerTotal> {
    return this.fields.totals;
  }

  /** Returns the state after an entry; ignores records already applied. */
  apply(entry: LogEntry): LedgerState {
    let fields = this.fields;
    for (const [index, record] of entry.records.entries()) {
      const position = positionOf(entry.offset, index);
      if (position <= fields.position) continue;
      if (record.kind === "bill") fields = withBill(fields, record);
      fields = { ...fields, position };
    }
    return fields === this.fields ? this : new LedgerState(fields);
  }
}

function withBill(fields: LedgerFields, bill: RecordOf<"bill">): LedgerFields {
  const key = billKeyOf(bill);
  const current = fields.bills.get(key);
  if (current !== undefined && !isSuperseding(bill, current)) return fields;
  const prior = fields.totals.get(bill.workspace);
  const addedCount = current === undefined ? 1 : 0;
  const addedMicroEur = bill.priceMicroEur - (current?.priceMicroEur ?? 0);
  const total: LedgerTotal = {
    billCount: (prior?.billCount ?? 0) + addedCount,
    priceMicroEur: (prior?.priceMicroEur ?? 0) + addedMicroEur,
  };
  return {
    ...fields,
    billCount: fields.billCount + addedCount,
    bills: fields.bills.set(key, bill),
    totals: fields.totals.set(bill.workspace, total),
  };
}

/** Whether a later bill of the same request counts instead of `current`. */
export function isSuperseding(
  bill: RecordOf<"bill">,
  current: RecordOf<"bill">,
): boolean {
  return bill.isWhole && !current.isWhole;
}

/** Returns the key of the bills that compete for one request. */
export function billKeyOf(
  bill: Pick<RecordOf<"bill">, "workspace" | "requestId">,
): string {
  return `${bill.workspace} ${bill.requestId}`;
}
