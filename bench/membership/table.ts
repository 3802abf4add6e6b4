/**
 * Measures the memory of one VM's member table. Prints one JSON line per size.
 *
 * Usage: node --expose-gc dist/bench/membership/table.js [SIZE...]
 */
import process from "node:process";
import {
  applyMembership,
  createMembership,
  type MembershipState,
} from "../../src/decision/mod.ts";
import {
  entryVm,
  entryVms,
  seededRandom,
} from "../../src/decision/membership_fixture.ts";

const SIZES = [8, 64, 410];
const TABLE_COUNT = 100;
const BYTES_PER_KB = 1024;

function createTable(size: number): MembershipState {
  const vms = structuredClone(entryVms(size, ["a", "b", "c"]));
  const context = { nowMs: 0, random: seededRandom(1) };
  const initial = createMembership(entryVm("self"), { nowMs: 0 });
  return applyMembership(initial, { kind: "listed", vms }, context).state;
}

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

const requestedSizes = process.argv.slice(2).map(Number);
for (const size of requestedSizes.length > 0 ? requestedSizes : SIZES) {
  const tables: MembershipState[] = [];
  const before = heapBytes();
  for (let count = 0; count < TABLE_COUNT; count++) {
    tables.push(createTable(size));
  }
  const tableKb = (heapBytes() - before) / TABLE_COUNT / BYTES_PER_KB;
  console.log(JSON.stringify({
    size,
    tables: tables.length,
    tableKb: Number(tableKb.toFixed(1)),
  }));
}
