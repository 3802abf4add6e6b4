/** Tests of the search for the prompt parts under which servers end. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type CrashReport,
  digestPartId,
  findFatalParts,
  isSuspectRequest,
} from "./crash_evidence.ts";

const STEP_MS = 300;

/** One crash after the other; each is the list of its requests' parts. */
function reportsOf(
  crashes: readonly (readonly (readonly string[])[])[],
): CrashReport[] {
  return crashes.flatMap((requests, index) =>
    requests.map((partIds, order) => ({
      requestId: `r-${index}-${order}`,
      serverKey: `server-${index}`,
      partIds,
      atMs: 1000 + index * STEP_MS,
    }))
  );
}

/** The fatal parts; an answer to another part got far at `newestAtMs`. */
function fatalIn(
  reports: readonly CrashReport[],
  answeredAtMs: Readonly<Record<string, number>> = {},
  newestAtMs = 9000,
): (readonly string[])[] {
  return findFatalParts(reports, {
    answeredAtMs: (partId) => answeredAtMs[partId],
    newestAtMs,
  }).map(({ partIds }) => partIds);
}

test("the part of all crashes explains those of its victims", () => {
  const reports = reportsOf([
    [["system", "a", "fatal"], ["system", "b"], ["system", "c"]],
    [["system", "b", "fatal"], ["system", "b"], ["system", "a"]],
    [["system", "c", "fatal"], ["system", "b"], ["system", "a"]],
    [["system", "d", "fatal"], ["system", "c"]],
  ]);
  assert.deepEqual(fatalIn(reports, { system: 500 }), [["fatal"]]);
});

test("two parts under which servers end are both found", () => {
  const reports = reportsOf([
    [["one"]],
    [["two"]],
    [["one"]],
    [["two"]],
    [["one"]],
    [["two"]],
  ]);
  assert.deepEqual(fatalIn(reports).flat().sort(), ["one", "two"]);
});

test("parts that always come together are fatal together", () => {
  const reports = reportsOf([[["a", "b"]], [["a", "b"]], [["a", "b"]]]);
  assert.deepEqual(fatalIn(reports), [["a", "b"]]);
});

test("a part with an answer of late needs more crashes since it", () => {
  const three = reportsOf([[["a"]], [["a"]], [["a"]]]);
  assert.deepEqual(fatalIn(three), [["a"]]);
  assert.deepEqual(fatalIn(three, { a: 500 }), []);
  const many = reportsOf(Array.from({ length: 13 }, () => [["a"]]));
  assert.deepEqual(fatalIn(many, { a: 500 }), [["a"]]);
  // Three of the crashes were before the answer.
  assert.deepEqual(fatalIn(many, { a: 1000 + 2.5 * STEP_MS }), []);
});

test("a part that every request has is not fatal", () => {
  const reports = reportsOf(Array.from({ length: 30 }, () => [["system"]]));
  assert.deepEqual(fatalIn(reports, { system: 500 }, 500), []);
  assert.deepEqual(fatalIn(reports, {}, -Infinity), []);
});

test("one request that is repeated is not enough", () => {
  const reports = reportsOf([[["a"]], [["a"]], [["a"]]])
    .map((report) => ({ ...report, requestId: "r" }));
  assert.deepEqual(fatalIn(reports), []);
});

const SAME = digestPartId("same");

test("one request under two ids is fatal after three servers, also at one moment", () => {
  const reports = reportsOf([[[SAME]], [[SAME]], [[SAME]]])
    .map((report) => ({ ...report, atMs: 1000 }));
  assert.deepEqual(fatalIn(reports), [[SAME]]);
  assert.deepEqual(fatalIn(reports.slice(0, 2)), []);
});

test("a victim that one VM sends from server to server is not fatal", () => {
  const reports = reportsOf([[[SAME]], [[SAME]], [[SAME]], [[SAME]]])
    .map((report) => ({ ...report, requestId: "victim" }));
  assert.deepEqual(fatalIn(reports), []);
});

test("a request that was answered of late needs more crashes since", () => {
  const reports = reportsOf(Array(8).fill([[SAME]]));
  assert.deepEqual(fatalIn(reports, { [SAME]: 900 }), []);
});

// Guards against BUDGET: repeats of a request that ends each of its servers.
test("a request under which two servers ended is not repeated, an answered one is", () => {
  const reports = reportsOf([[[SAME, "system"]], [["system"]], [[SAME]]]);
  const isSuspect = (
    partIds: readonly string[],
    answeredAtMs?: number,
  ): boolean =>
    isSuspectRequest(reports, {
      partIds,
      answers: { answeredAtMs: () => answeredAtMs, newestAtMs: 900 },
    });
  assert.ok(isSuspect([SAME, "system"]));
  assert.ok(!isSuspect([SAME], 1200));
  assert.ok(!isSuspect([digestPartId("other"), "system"]));
  assert.ok(!isSuspect(["system"]));
});
