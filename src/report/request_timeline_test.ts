/** Tests of a request's story from the logs of several VMs. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { formatTimeline, readTimeline } from "./request_timeline.ts";

function lineOf(
  atMs: number,
  event: string,
  fields: Record<string, unknown>,
  vm = "vm-1",
): string {
  const time = new Date(1_700_000_000_000 + atMs).toISOString();
  return JSON.stringify({ time, level: "INFO", vm, event, ...fields });
}

const SENT = lineOf(5, "request sent", { request: "r1", server: "i-1" });
const ENDED = lineOf(900, "request ended", {
  request: "r1",
  outcome: "reset",
  status: 502,
  trail: "i-1:reset",
});

test("lines of several VMs come in the order of time, with the cause", () => {
  const refused = lineOf(2, "request refused", {
    request: "r1",
    reason: "leaving",
    status: 503,
  }, "vm-2");
  const story = readTimeline("r1", [ENDED, SENT, refused, "noise"]);
  assert.deepEqual(story.lines.map(({ event }) => event), [
    "request refused",
    "request sent",
    "request ended",
  ]);
  assert.match(story.cause, /broke its answer off \(i-1:reset\)/);
  assert.match(formatTimeline("r1", story), /898 ms {2}vm-1 {2}request ended/);
});

test("a process that was killed in between is named", () => {
  const story = readTimeline("r1", [SENT, ENDED.slice(0, 60)]);
  assert.match(story.cause, /vm-1 wrote nothing more/);
});

test("words of a collector before a line do not matter, other ids do", () => {
  const story = readTimeline("r1", [
    `  12.4 edge-1 ${SENT}`,
    lineOf(7, "request sent", { request: "r12" }),
  ]);
  assert.equal(story.lines.length, 1);
  assert.match(readTimeline("r9", [SENT]).cause, /no line/);
});

test("an answer that came late is said to be, with its longest pause", () => {
  const ended = lineOf(900, "request ended", {
    request: "r1",
    outcome: "answered",
    status: 200,
    trail: "i-1:stream_end",
    firstByteMs: 80,
    longestPauseMs: 2100,
    isLate: true,
  });
  const { cause } = readTimeline("r1", [SENT, ended]);
  assert.match(cause, /late: it began after 80 ms, .* pause was 2100 ms/);
  assert.doesNotMatch(readTimeline("r1", [SENT, ENDED]).cause, /late/);
});
