/** Tests of what a VM passes on of other VMs' tallies, and judges by. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { addSample, EMPTY_TALLY, type VersionTally } from "../decision/mod.ts";
import { RolloutRecord, type VmTally } from "./rollout_record.ts";

const READER_COUNT = 6;
const VMS_BY_READER = 13;

function recordOf(): RolloutRecord {
  const order = {
    service: "drafting",
    target: "v2",
    durationMs: 24_000,
    offset: 4,
  };
  return new RolloutRecord(order, { startedAtMs: 0, isStageKnown: true });
}

function tallyOf(vm: string, tally: VersionTally = EMPTY_TALLY): VmTally {
  return { vm, sequence: 1, tally, otherInFlightCount: 0 };
}

function failureAt(backendId: string): VersionTally {
  return addSample(EMPTY_TALLY, {
    route: "drafts",
    isTarget: true,
    isError: true,
    firstByteMs: 100,
    backendId,
  });
}

test("a reader passes on its own data centre's tallies, not other readers'", () => {
  const readers = Array.from({ length: READER_COUNT }, recordOf);
  for (const [place, reader] of readers.entries()) {
    for (let index = 0; index < VMS_BY_READER; index++) {
      const tally = tallyOf(`vm-${place}-${index}`);
      reader.receiveTally(tally, { nowMs: 0, isDirect: true });
    }
  }
  // Every reader tells every other one, twice over.
  for (const teller of [...readers, ...readers]) {
    for (const reader of readers) {
      if (reader === teller) continue;
      for (const tally of teller.directTallies()) {
        reader.receiveTally(tally, { nowMs: 0, isDirect: false });
      }
    }
  }
  for (const reader of readers) {
    assert.equal(reader.directTallies().length, VMS_BY_READER);
  }
});

test("a target is judged by all that was heard, told or passed on", () => {
  const record = recordOf();
  const heard: [string, boolean][] = [["a", true], ["b", false], ["c", false]];
  for (const [backendId, isDirect] of heard) {
    const given = tallyOf(`vm-${backendId}`, failureAt(backendId));
    record.receiveTally(given, { nowMs: 0, isDirect });
  }
  assert.equal(record.evaluate(100), "drafts: 3 of 3 failed");
});
