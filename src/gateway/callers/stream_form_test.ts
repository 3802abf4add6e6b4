/** Tests of streams in unusual forms that go on at other servers. */
import assert from "node:assert/strict";
import process from "node:process";
import { test, type TestContext } from "node:test";
import { routeOf } from "../../decision/manifest_fixture.ts";
import { type ServiceRoute } from "../../model/mod.ts";
import { eventsOf } from "../servers/backend_fixture.ts";
import { playStream, readAnswer, summaryOf } from "./stream_caller_fixture.ts";
import {
  drawFrom,
  randomFor,
  type ServedPart,
  startStreamVm,
  type StreamArrival,
} from "./stream_server_fixture.ts";

const SEEDS = (process.env["PLAY_SEEDS"] ?? "5").split(",").map(Number);
const STREAM_COUNT = 60;
const EVENT_COUNT = 12;
const ENDS = ["close", "reset", "stall", "late", "whole"] as const;
const HOWS = ["right", "right", "repeats", "skips", "begins"] as const;
const ROUTE = routeOf({ maxAttempts: 5, gapTargetMs: 200, timeoutMs: 8000 });

/** The same event of a stream is written alike by all servers. */
function eventIn(stream: number, seed: number, id: number): Buffer {
  const draw = randomFor(seed, stream, 1000 + id);
  const end = randomFor(seed, stream, 7)() < 0.4 ? "\r\n" : "\n";
  const idLine = drawFrom([`id: ${id}`, `id:${id}`, `id: 000${id}`], draw);
  const lines = drawFrom([
    [idLine, `data: piece ${id} of ${stream}`],
    [`x-weight-versions: ${7 + id}`, idLine, `data: piece ${id} of ${stream}`],
    [": comment", "", "", idLine, "event: token", "data: a", `data: id: 99`],
    [`: id: ${id + 5}`, "data: first", idLine, "retry: 10"],
    ["", "data", idLine],
  ], draw);
  return Buffer.from([...lines, "", ""].join(end));
}

/** The index of the first event that a server sends. */
function firstOf(how: (typeof HOWS)[number], last: number): number {
  return { right: last, repeats: last - 1, skips: last + 1, begins: 0 }[how];
}

// Guards against ORDER where an event's form or its parts hide its number, and
// where a resumed answer begins elsewhere.
for (const seed of SEEDS) {
  test(`streams in any form go on with the next event, seed ${seed}`, async (context) => {
    const streams = Array.from(
      { length: STREAM_COUNT },
      (_, index) =>
        Array.from(
          { length: EVENT_COUNT },
          (_, event) => eventIn(index, seed, event + 1),
        ),
    );
    const counts: Record<string, number> = {};
    const partOf = ({ stream, last, arrival }: StreamArrival): ServedPart => {
      const index = Number(stream.slice(1));
      const events = streams[index] ?? [];
      const draw = randomFor(seed, index, arrival);
      const chunkBytes = drawFrom([[1], [2, 1], [7], [1000]], draw);
      const end = arrival > 5 ? "whole" : drawFrom(ENDS, draw);
      // A complete answer without events can't be told from a right one.
      const isRight = arrival > 5 || last === 0 || last >= EVENT_COUNT - 1;
      const how = isRight ? "right" : drawFrom(HOWS, draw);
      const bytes = Buffer.concat(events.slice(firstOf(how, last)));
      const at = end === "whole"
        ? bytes.length
        : Math.floor(draw() * bytes.length);
      const key = `${how} ${end}`;
      counts[key] = (counts[key] ?? 0) + 1;
      return {
        bytes: bytes.subarray(0, at),
        rest: bytes.subarray(at),
        lateMs: 700,
        chunkBytes,
        end,
      };
    };
    const address = await startStreamVm(context, {
      serverCount: 12,
      route: ROUTE,
      partOf,
    });
    const results = await Promise.all(
      streams.map((events, index) =>
        playStream([address], {
          stream: `s${index}`,
          events,
          path: `/drafts/s${index}`,
        })
      ),
    );
    const { faults, wholeCount, cutCount } = summaryOf(results);
    context.diagnostic(
      `${wholeCount} whole, ${cutCount} cut, ${JSON.stringify(counts)}`,
    );
    assert.deepEqual(faults, []);
    assert.ok(wholeCount > STREAM_COUNT / 2, `${wholeCount}`);
  });
}

/** What a caller gets where a server breaks off and others answer as given. */
async function afterBreak(
  context: TestContext,
  { first, then, route = ROUTE }: {
    readonly first: string;
    readonly then: string;
    readonly route?: ServiceRoute;
  },
): Promise<{ readonly body: string; readonly isComplete: boolean }> {
  const address = await startStreamVm(context, {
    serverCount: 3,
    route,
    partOf: ({ arrival }) => ({
      bytes: Buffer.from(arrival === 1 ? first : then),
      chunkBytes: [1000],
      end: arrival === 1 ? "close" : "whole",
    }),
  });
  const { body, isComplete } = await readAnswer(address, {
    id: "s0~0",
    path: "/drafts/s0",
  });
  return { body: body.toString(), isComplete };
}

// Guards against ORDER: the whole answer of another server was joined to a part
// of a stream none of whose events had a number.
for (const id of ["", "id: a-1\n", "id: 1764937737123456\n"]) {
  const name = id.trim() || "no id";
  test(`a stream without numbers is not joined to another: ${name}`, async (context) => {
    const first = `${id}data: one\n\n${id}data: two\n\n`;
    for (const then of [first, ""]) {
      const answer = await afterBreak(context, { first, then });
      assert.deepEqual(answer, { body: first, isComplete: false });
    }
  });
}

// Guards against answers of 502 to callers that name no event in a header.
for (const last of ["", "0x10", "a", "-1", "0", "3", "4"]) {
  test(`a stream goes on as its caller asks: ${JSON.stringify(last)}`, async (context) => {
    const lasts: (string | undefined)[] = [];
    const isNumber = /^\d+$/.test(last);
    const events = eventsOf(isNumber ? Number(last) + 1 : 0, 3);
    const address = await startStreamVm(context, {
      serverCount: 3,
      route: ROUTE,
      partOf: ({ arrival, lastText }) => {
        lasts.push(lastText);
        return {
          bytes: Buffer.from(arrival === 1 ? "" : events),
          chunkBytes: [1000],
          end: arrival === 1 ? "close" : "whole",
        };
      },
    });
    const request = { id: "s0~0", path: "/drafts/s0", last };
    const { body, isComplete } = await readAnswer(address, request);
    assert.deepEqual(
      { body: body.toString(), isComplete, lasts },
      { body: events, isComplete: true, lasts: [last, last] },
    );
  });
}

// Guards against MIXED: part of a comment of the server that broke off was
// written as the next one, which had no further event, ended the stream.
test("a stream ends without what another server had begun", async (context) => {
  const first = eventsOf(1, 3);
  const answer = await afterBreak(context, {
    first: `${first}: kee`,
    then: "",
  });
  assert.deepEqual(answer, { body: first, isComplete: true });
});

test("a stream is not complete where a server had begun a further event", async (context) => {
  const first = eventsOf(1, 3);
  const answer = await afterBreak(context, {
    first: `${first}id: 4\nda`,
    then: "",
  });
  assert.deepEqual(answer, { body: first, isComplete: false });
});
