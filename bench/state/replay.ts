/**
 * Measures the replay of a stream with one record per entry: the time to decode
 * and apply the records, and the memory of the resulting state.
 *
 * Usage: node --expose-gc dist/bench/state/replay.js [RECORDS] [edits|claims]
 */
import process from "node:process";
import { performance } from "node:perf_hooks";
import {
  ControlState,
  decodeEntry,
  type LogEntry,
  RequestState,
} from "../../src/state/mod.ts";
import { claimPayload, editPayload, WORKSPACE_COUNT } from "./payloads.ts";

const BYTES_PER_KB = 1024;
const GC_ROUNDS = 4;
const US_PER_MS = 1000;

function usedHeapKb(): number {
  for (let round = 0; round < GC_ROUNDS; round += 1) globalThis.gc?.();
  return process.memoryUsage().heapUsed / BYTES_PER_KB;
}

function replay<State extends { apply(entry: LogEntry): State }>(
  empty: State,
  payloads: readonly string[],
): State {
  const startMs = performance.now();
  let state = empty;
  for (const [offset, payload] of payloads.entries()) {
    state = state.apply(decodeEntry(offset, payload));
  }
  const replayMs = Math.round(performance.now() - startMs);
  console.log(JSON.stringify({ kind, count, replayMs }));
  return state;
}

/** Prints the mean time to resolve the settings of a path. */
function measureResolve(state: ControlState): void {
  const startMs = performance.now();
  for (let index = 0; index < count; index += 1) {
    state.tree.resolve(
      `/region-0/workspace-${index % WORKSPACE_COUNT}/session-1`,
    );
  }
  const resolveUs = US_PER_MS * (performance.now() - startMs) / count;
  console.log(JSON.stringify({ kind: "resolve", us: resolveUs.toFixed(1) }));
}

const count = Number(process.argv[2] ?? 20_000);
const kind = process.argv[3] ?? "edits";
const payloadOf = kind === "claims" ? claimPayload : editPayload;
const payloads = Array.from({ length: count }, (_, index) => payloadOf(index));
let state: ControlState | RequestState | undefined = kind === "claims"
  ? replay(RequestState.empty, payloads)
  : replay(ControlState.empty, payloads);
if (state instanceof ControlState) measureResolve(state);
const withStateKb = usedHeapKb();
state = undefined;
const stateKb = Math.round(withStateKb - usedHeapKb());
console.log(JSON.stringify({ kind, count, stateKb }));
