/** A series of streams that their servers break off at random places. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../../decision/membership_fixture.ts";
import { eventsOf } from "../servers/backend_fixture.ts";
import {
  LAST_ID,
  type RunEnd,
  startUnmarked,
  type StreamRun,
  WHOLE_RUN,
} from "./unmarked_end_fixture.ts";

const STREAM_COUNT = 300;
const BROKEN_SHARE = 0.35;
const PARALLEL_COUNT = 20;
const BREAKS: readonly RunEnd[] = [
  "closed",
  "closed",
  "closed_inside",
  "reset",
];

function breakOf(random: () => number): StreamRun {
  if (random() >= BROKEN_SHARE) return WHOLE_RUN;
  const lastId = 1 + Math.floor(random() * (LAST_ID - 1));
  const end = BREAKS[Math.floor(random() * BREAKS.length)] ?? "closed";
  return { lastId, end };
}

// Guards against ORDER: streams that closed between two events looked complete.
for (const seed of [5, 23, 41]) {
  test(`streams broken off once at random places come whole, seed ${seed}`, async (context) => {
    const random = seededRandom(seed);
    const firstRuns = Array.from(
      { length: STREAM_COUNT },
      () => breakOf(random),
    );
    const { send, runsOf } = await startUnmarked(context, {
      serverCount: 4,
      runOf: (requestId, index) =>
        index > 0 ? WHOLE_RUN : firstRuns[Number(requestId)] ?? WHOLE_RUN,
    });
    const counts = { whole: 0, short: 0, cut: 0, runs: 0 };
    const pending = firstRuns.map((_, index) => `${index}`);
    await Promise.all(Array.from({ length: PARALLEL_COUNT }, async () => {
      for (let id = pending.pop(); id !== undefined; id = pending.pop()) {
        const { body, isComplete } = await send({
          path: `/drafts/${id}`,
          headers: { "test-id": id },
        });
        const isWhole = body === eventsOf(1, LAST_ID);
        if (!isComplete) counts.cut += 1;
        else counts[isWhole ? "whole" : "short"] += 1;
        counts.runs += runsOf(id).length;
      }
    }));
    const brokenCount = firstRuns.filter((run) => run !== WHOLE_RUN).length;
    assert.deepEqual(counts, {
      whole: STREAM_COUNT,
      short: 0,
      cut: 0,
      runs: 2 * STREAM_COUNT + brokenCount,
    });
  });
}
