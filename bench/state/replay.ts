/**
 * Measures replay of the control stream: time and memory to decode and apply
 * edits, one an entry. Arguments: the number of edits.
 */
import process from "node:process";
import { performance } from "node:perf_hooks";
import { type SettingsPath } from "../../src/model/mod.ts";
import {
  ControlState,
  decodeEntry,
  encodeBatch,
  positionOf,
} from "../../src/state/mod.ts";

const WORKSPACES = 200;
const BYTES_PER_KB = 1024;

function payloadOf(index: number): string {
  const workspace = index % WORKSPACES;
  const path: SettingsPath = `/region-${workspace % 3}/workspace-${workspace}`;
  return encodeBatch([{
    id: `edit-${index}`,
    kind: "edit",
    path,
    change: { set: { maxConcurrent: index % 1000 }, clear: [] },
    base: index === 0 ? 0 : positionOf(index - 1, 0),
    author: "operator",
    note: "",
  }]);
}

function usedKb(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed / BYTES_PER_KB;
}

const count = Number(process.argv[2] ?? 20_000);
const payloads = Array.from({ length: count }, (_, index) => payloadOf(index));
const beforeKb = usedKb();
const startMs = performance.now();
let state = ControlState.empty;
for (const [offset, payload] of payloads.entries()) {
  state = state.apply(decodeEntry(offset, payload));
}
const replayMs = performance.now() - startMs;
const resolveStartMs = performance.now();
for (let index = 0; index < count; index += 1) {
  state.tree.resolve(`/region-0/workspace-${index % WORKSPACES}/session-1`);
}
const resolveMs = performance.now() - resolveStartMs;
console.log(JSON.stringify({
  edits: count,
  accepted: state.revision === positionOf(count - 1, 0),
  replayMs: Math.round(replayMs),
  resolveUs: Math.round(1e5 * resolveMs / count) / 100,
  stateKb: Math.round(usedKb() - beforeKb),
  logKb: Math.round(payloads.join("").length / BYTES_PER_KB),
}));
