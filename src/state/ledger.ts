/**
 * Bills, by replay of the bill streams. One bill counts for each request of a
 * workspace: the first of a whole answer or, while there is none, the first of
 * a part. A caller that was cut off and asks again elsewhere thus pays for its
 * answer once, not for the part as well. Totals are kept for good, single bills
 * for a window of the newest, so that a bill appended twice within the window
 * counts once.
 */
import { Map as PersistentMap } from "immutable";
import { type SettingsPath } from "../model/mod.ts";
import { BoundedMap } from "./bounded_map.ts";
import { type Position, positionOf, START_POSITION } from "./position.ts";
import { type LogEntry, type RecordOf } from "./record.ts";

/** Bills of one stream that are kept singly; alike on every VM. */
export const MAX_BILLS = 50_000;

/** What a workspace has been billed. */
export interface LedgerTotal {
  readonly billCount: number;
  readonly priceMicroEur: number;
}

/** The parts of a ledger. */
export interface LedgerFields {
  readonly position: Position;
  readonly billCount: number;
  readonly bills: BoundedMap<string, RecordOf<"bill">>;
  readonly totals: PersistentMap<SettingsPath, LedgerTotal>;
}

/** The bills of one stream. */
export class LedgerState {
  /** The parts, for checkpoints. */
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

  /** A ledger of these parts. */
  static of(fields: LedgerFields): LedgerState {
    return new LedgerState(fields);
  }

  /** Position of the newest record applied. */
  get position(): Position {
    return this.fields.position;
  }

  /** The bill that counts for a request, while it is kept. */
  billOf(
    workspace: SettingsPath,
    requestId: string,
  ): RecordOf<"bill"> | undefined {
    return this.fields.bills.get(keyOf({ workspace, requestId }));
  }

  /** The number of requests billed. */
  get billCount(): number {
    return this.fields.billCount;
  }

  /** What a workspace has been billed so far. */
  totalOf(workspace: SettingsPath): LedgerTotal {
    return this.fields.totals.get(workspace) ??
      { billCount: 0, priceMicroEur: 0 };
  }

  /** What all workspaces have been billed so far. */
  get totals(): PersistentMap<SettingsPath, LedgerTotal> {
    return this.fields.totals;
  }

  /** The state after one log entry; entries at or before it change nothing. */
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
  const key = keyOf(bill);
  const held = fields.bills.get(key);
  if (held !== undefined && !isSuperseding(bill, held)) return fields;
  const before = fields.totals.get(bill.workspace);
  const addedCount = held === undefined ? 1 : 0;
  const addedMicroEur = bill.priceMicroEur - (held?.priceMicroEur ?? 0);
  const total: LedgerTotal = {
    billCount: (before?.billCount ?? 0) + addedCount,
    priceMicroEur: (before?.priceMicroEur ?? 0) + addedMicroEur,
  };
  return {
    ...fields,
    billCount: fields.billCount + addedCount,
    bills: fields.bills.set(key, bill),
    totals: fields.totals.set(bill.workspace, total),
  };
}

/** Whether a later bill of the same request counts in place of `held`. */
export function isSuperseding(
  bill: RecordOf<"bill">,
  held: RecordOf<"bill">,
): boolean {
  return bill.isWhole && !held.isWhole;
}

function keyOf(
  bill: Pick<RecordOf<"bill">, "workspace" | "requestId">,
): string {
  return `${bill.workspace} ${bill.requestId}`;
}
