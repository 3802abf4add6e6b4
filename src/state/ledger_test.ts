/** Tests of the rule that selects the counted bill of a request. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { LedgerState } from "./ledger.ts";
import { type RecordOf } from "./record.ts";
import { ledgerCodec } from "./state_codec.ts";

function billOf(changes: Partial<RecordOf<"bill">>): RecordOf<"bill"> {
  return {
    id: "b",
    kind: "bill",
    requestId: "r1",
    workspace: "/khomas/heritage",
    requestClass: "drafting",
    isWhole: true,
    lines: [],
    priceMicroEur: 40,
    vm: "khomas-a-1",
    ...changes,
  };
}

function ledgerOf(bills: readonly RecordOf<"bill">[]): LedgerState {
  let ledger = LedgerState.empty;
  for (const [offset, bill] of bills.entries()) {
    ledger = ledger.apply({ offset, records: [bill] });
  }
  return ledger;
}

const PARTIAL = billOf({ isWhole: false, priceMicroEur: 15 });

test("a complete answer's bill replaces a partial one's, in any order", () => {
  for (const bills of [[PARTIAL, billOf({})], [billOf({}), PARTIAL]]) {
    const ledger = ledgerOf(bills);
    const total = ledger.totalOf("/khomas/heritage");
    assert.deepEqual(total, { billCount: 1, priceMicroEur: 40 });
    assert.equal(ledger.billCount, 1);
  }
});

test("a partial answer is billed while there is no complete one", () => {
  const total = ledgerOf([PARTIAL]).totalOf("/khomas/heritage");
  assert.deepEqual(total, { billCount: 1, priceMicroEur: 15 });
});

test("the same request id of two workspaces is billed to each", () => {
  const ledger = ledgerOf([billOf({}), billOf({ workspace: "/erongo/x" })]);
  assert.equal(ledger.billCount, 2);
  assert.equal(ledger.totalOf("/erongo/x").priceMicroEur, 40);
});

test("totals equal the sum of the counted bills", () => {
  const anyBill = fc.record({
    requestId: fc.constantFrom("r1", "r2", "r3"),
    isWhole: fc.boolean(),
    priceMicroEur: fc.nat(100),
  }).map(billOf);
  fc.assert(
    fc.property(fc.array(anyBill, { maxLength: 20 }), (bills) => {
      const ledger = ledgerOf([...bills, ...bills]);
      let priceMicroEur = 0;
      let billCount = 0;
      for (const requestId of ["r1", "r2", "r3"]) {
        const bill = ledger.billOf("/khomas/heritage", requestId);
        if (bill === undefined) continue;
        billCount += 1;
        priceMicroEur += bill.priceMicroEur;
      }
      const total = ledger.totalOf("/khomas/heritage");
      assert.deepEqual(total, { billCount, priceMicroEur });
    }),
    { seed: 11 },
  );
});

test("a decoded ledger answers as the encoded one and counts no bill twice", () => {
  const anyBill = fc.record({
    id: fc.uuid(),
    requestId: fc.constantFrom("r1", "r2", "r3"),
    workspace: fc.constantFrom("/khomas/heritage", "/erongo/x"),
    isWhole: fc.boolean(),
    priceMicroEur: fc.nat(100),
  }).map(billOf);
  fc.assert(
    fc.property(fc.array(anyBill, { maxLength: 20 }), (bills) => {
      const ledger = ledgerOf(bills);
      const decoded = ledgerCodec.decode(ledgerCodec.encode(ledger))
        ._unsafeUnwrap();
      for (const { workspace, requestId } of bills) {
        const expected = ledger.billOf(workspace, requestId);
        assert.deepEqual(decoded.billOf(workspace, requestId), expected);
      }
      const again = decoded.apply({ offset: bills.length, records: bills });
      const direct = ledger.apply({ offset: bills.length, records: bills });
      assert.equal(again.billCount, ledger.billCount);
      assert.deepEqual(again.totals.toJS(), direct.totals.toJS());
    }),
    { seed: 20_261_204, numRuns: 200 },
  );
});
