/** Tests of streams of large events, also to callers that read slowly. */
import assert from "node:assert/strict";
import process from "node:process";
import { test, type TestContext } from "node:test";
import { routeOf } from "../../decision/manifest_fixture.ts";
import { playStream, summaryOf } from "./stream_caller_fixture.ts";
import {
  drawFrom,
  eventsOfLength,
  randomFor,
  type ServedPart,
  startStreamVm,
  type StreamArrival,
} from "./stream_server_fixture.ts";

const MIB = 1024 * 1024;
const SEEDS = (process.env["PLAY_SEEDS"] ?? "7").split(",").map(Number);
const STREAM_COUNT = 16;
const EVENTS = { count: 40, bytes: { min: 1000, max: 100_000 } };
const CHUNK_BYTES = [9000, 100, 40_000, 1, 16_384];
const ENDS = ["close", "reset", "stall", "late", "whole"] as const;
/** What the VM and the test itself may hold of the bytes on their way. */
const MAX_GROWN_BYTES = 300 * MIB;
const ROUTE = routeOf({ maxAttempts: 5, gapTargetMs: 200, timeoutMs: 8000 });

function startVm(
  context: TestContext,
  partOf: (arrival: StreamArrival) => ServedPart,
): Promise<string> {
  return startStreamVm(context, { serverCount: 12, route: ROUTE, partOf });
}

// Guards against ORDER where what waits for a slow caller is lost or repeated
// as its stream breaks off, falls silent or goes on at another server.
for (const seed of SEEDS) {
  test(`slow callers get large events whole and once, seed ${seed}`, async (context) => {
    const random = randomFor(seed);
    const streams = Array.from({ length: STREAM_COUNT }, (_, index) => {
      const stream = `s${index}`;
      return { stream, events: eventsOfLength({ stream, random, ...EVENTS }) };
    });
    const address = await startVm(context, ({ stream, last, arrival }) => {
      const index = Number(stream.slice(1));
      const draw = randomFor(seed, index, arrival);
      const bytes = Buffer.concat(streams[index]?.events.slice(last) ?? []);
      const end = arrival > 6 ? "whole" : drawFrom(ENDS, draw);
      const at = end === "whole"
        ? bytes.length
        : Math.floor(draw() * Math.min(bytes.length, 1_500_000));
      return {
        bytes: bytes.subarray(0, at),
        rest: bytes.subarray(at),
        lateMs: 700,
        chunkBytes: CHUNK_BYTES,
        end,
      };
    });
    const rssBefore = process.memoryUsage().rss;
    let mostBytes = rssBefore;
    const timer = setInterval(() => {
      mostBytes = Math.max(mostBytes, process.memoryUsage().rss);
    }, 20);
    const results = await Promise.all(streams.map(({ stream, events }) => {
      let turn = 0;
      return playStream([address], {
        stream,
        events,
        path: `/drafts/${stream}`,
        pauseMs: () => {
          turn += 1;
          if (turn === 1) return random() * 1500;
          return random() * (turn % 10 === 0 ? 400 : 12);
        },
      });
    }));
    clearInterval(timer);
    const { faults, wholeCount, cutCount } = summaryOf(results);
    context.diagnostic(`${cutCount} cut, ${mostBytes - rssBefore} bytes more`);
    assert.deepEqual(faults, []);
    assert.equal(wholeCount, STREAM_COUNT);
    assert.ok(mostBytes - rssBefore < MAX_GROWN_BYTES);
  });
}

// Guards against streams cut at their deadline: a server that fell silent after
// an event too large for the caller's buffer was not left.
for (const restMs of [0, 1000]) {
  test(`a server that falls silent after a large event is left: caller rests ${restMs} ms`, async (context) => {
    const stream = "s0";
    const random = randomFor(1);
    const events = eventsOfLength({ stream, random, ...EVENTS, count: 100 });
    const address = await startVm(context, ({ last, arrival }) => ({
      bytes: Buffer.concat(events.slice(last, arrival === 1 ? 90 : 100)),
      chunkBytes: CHUNK_BYTES,
      end: arrival === 1 ? "stall" : "whole",
    }));
    let turn = 0;
    const result = await playStream([address], {
      stream,
      events,
      path: "/drafts/s0",
      pauseMs: () => turn++ === 0 ? restMs : 0,
    });
    assert.deepEqual(result, { faults: [], isWhole: true, cutCount: 0 });
  });
}
