/** Tests of streams whose answers are dropped, and break off after the head. */
import assert from "node:assert/strict";
import process from "node:process";
import { test } from "node:test";
import { routeOf } from "../../decision/manifest_fixture.ts";
import { readAnswer } from "../callers/stream_caller_fixture.ts";
import {
  drawFrom,
  randomFor,
  startStreamVm,
} from "../callers/stream_server_fixture.ts";

const SEEDS = (process.env["PLAY_SEEDS"] ?? "4").split(",").map(Number);
const STREAM_COUNT = 80;
const EVENT_COUNT = 9;
const MODELS = ["small", "large"] as const;
const ENDS = ["close", "reset", "stall", "late", "whole"] as const;
const ROUTE = routeOf({
  maxAttempts: 6,
  gapTargetMs: 200,
  timeoutMs: 6000,
  models: MODELS,
});

function eventIn(model: string, id: number): string {
  return `id: ${id}\ndata: ${model} ${id}\n\n`;
}

function eventsFrom(model: string, first: number): string {
  let text = "";
  for (let id = first; id <= EVENT_COUNT; id++) text += eventIn(model, id);
  return text;
}

// Guards against ORDER where a dropped answer, or one that broke off after its
// head, leaves bytes or its model in the stream of the next one.
for (const seed of SEEDS) {
  test(`each answer has the events of one model, seed ${seed}`, async (context) => {
    const counts = { whole: 0, cut: 0, refused: 0, large: 0, headOnly: 0 };
    const arrivals = new Map<string, string[]>();
    const address = await startStreamVm(context, {
      serverCount: 12,
      route: ROUTE,
      partOf: ({ stream, last, arrival, model = "none" }) => {
        const draw = randomFor(seed, Number(stream.slice(1)), arrival);
        const bytes = Buffer.from(eventsFrom(model, last + 1));
        const end = arrival > 4 ? "whole" : drawFrom(ENDS, draw);
        const isHeadOnly = end !== "whole" && draw() < 0.5;
        if (isHeadOnly) counts.headOnly += 1;
        const cutAt = isHeadOnly ? 0 : Math.floor(draw() * bytes.length);
        const at = end === "whole" ? bytes.length : cutAt;
        const confidence = draw() < 0.5 ? 10 : 90;
        const trail = arrivals.get(stream) ?? [];
        arrivals.set(stream, trail);
        trail.push(`${model} ${confidence} after ${last}: ${end} at ${at}`);
        return {
          bytes: bytes.subarray(0, at),
          rest: bytes.subarray(at),
          lateMs: 700,
          chunkBytes: [5, 1000],
          headers: [`test-confidence: ${confidence}`],
          end,
        };
      },
    });
    await Promise.all(
      Array.from({ length: STREAM_COUNT }, async (_, index) => {
        const { status, body, isComplete } = await readAnswer(address, {
          id: `s${index}~0`,
          path: `/drafts/s${index}`,
          headers: () => ["test-model: any"],
        });
        if (status !== 200) return counts.refused += 1;
        counts[isComplete ? "whole" : "cut"] += 1;
        const text = body.toString();
        const model = text.includes("large") ? "large" : "small";
        if (model === "large") counts.large += 1;
        const due = eventsFrom(model, 1);
        const trail = arrivals.get(`s${index}`)?.join("; ");
        if (isComplete) assert.equal(text, due, trail);
        assert.ok(due.startsWith(text), `${text} of ${trail}`);
      }),
    );
    context.diagnostic(JSON.stringify(counts));
    assert.ok(counts.whole > STREAM_COUNT / 2 && counts.large > 10);
  });
}
