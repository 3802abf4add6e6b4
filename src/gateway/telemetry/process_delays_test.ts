/** Tests of the delays of a process, in virtual time. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type LogFields, silentLogger } from "../../model/mod.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { watchDelays } from "./process_delays.ts";

const SILENCE_MS = 500;

interface Delays {
  readonly lines: readonly (LogFields & { readonly atMs: number })[];
  readonly metrics: string;
}

/** Runs one timer after the other, each as late as given. */
async function playDelays(
  delays: readonly { readonly lateMs: number; readonly usedMs: number }[],
): Promise<Delays> {
  const stopping = new AbortController();
  const metrics = new GatewayMetrics();
  await metrics.load();
  const lines: (LogFields & { readonly atMs: number })[] = [];
  let nowMs = 0;
  let usedMs = 0;
  let index = 0;
  await watchDelays({
    silenceMs: SILENCE_MS,
    processorMs: () => usedMs,
    metrics,
    clock: () => nowMs,
    sleep: (durationMs) => {
      const delay = delays[index];
      index += 1;
      if (delay === undefined) stopping.abort();
      nowMs += durationMs + (delay?.lateMs ?? 0);
      usedMs += delay?.usedMs ?? 0;
      return Promise.resolve();
    },
    logger: {
      ...silentLogger,
      warn: (event, fields) => {
        assert.equal(event, "held up");
        lines.push({ atMs: nowMs, ...fields });
      },
    },
  }, stopping.signal);
  return { lines, metrics: metrics.text() };
}

const IN_TIME = { lateMs: 3, usedMs: 5 };

test("a delay longer than the silence that others allow is logged at once", async () => {
  const { lines, metrics } = await playDelays([
    IN_TIME,
    { lateMs: SILENCE_MS, usedMs: 400 },
    { lateMs: 740, usedMs: 30 },
    IN_TIME,
  ]);
  const atMs = 103 + 600 + 840;
  assert.deepEqual(lines, [{ atMs, lateMs: 740, processorMs: 30, count: 1 }]);
  assert.match(metrics, /event_loop_held_up 1\n/);
  assert.match(metrics, /event_loop_late_ms_count 4\n/);
});

test("delays that follow each other are told by one line in two seconds", async () => {
  const { lines } = await playDelays([
    { lateMs: 600, usedMs: 600 },
    { lateMs: 900, usedMs: 880 },
    { lateMs: 600, usedMs: 600 },
    ...Array.from({ length: 200 }, () => IN_TIME),
  ]);
  assert.deepEqual(lines.map(({ count }) => count), [1, 2]);
  assert.equal(lines[1]?.["lateMs"], 900);
  assert.equal(lines[1]?.["processorMs"], 880);
});
