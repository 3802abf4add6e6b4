/**
 * Tests of an operator's session: conflicting edits have one winner, and the
 * exit status separates a refused edit from one that may have taken effect.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type CommandFault,
  EXIT_STATUS,
} from "../../src/command/exit_status.ts";
import {
  type EntryReport,
  laggingEntries,
  waitUntilInForce,
} from "../../src/command/revision_wait.ts";
import {
  type EditRequest,
  OperatorSession,
} from "../../src/command/operator_session.ts";
import { checkTree } from "../../src/command/settings_check.ts";
import { changesBetween } from "../../src/command/settings/load.ts";
import { SettingsTree } from "../../src/model/mod.ts";
import { createLogFixture, type LogFixture } from "../state/fixture.ts";

function open(
  { time, log }: LogFixture,
): ReturnType<typeof OperatorSession.open> {
  return OperatorSession.open({
    logUrl: "http://127.0.0.1:1",
    timeoutMs: 5000,
    effects: { clock: time.clock, sleep: time.sleep, random: () => 0.5 },
    transport: log.transport,
  });
}

function requestOf(
  author: string,
  maxConcurrent: number,
  base?: number,
): EditRequest {
  const change = { set: { maxConcurrent }, clear: [] };
  return { path: "/khomas", change, base, author, note: "season" };
}

function faultOf(
  result: { isErr(): boolean; error?: CommandFault },
): CommandFault {
  assert.ok(result.isErr());
  return result.error as CommandFault;
}

test("of two concurrent edits one wins and the other names the winner", async () => {
  const fixture = createLogFixture();
  const { time } = fixture;
  const first = (await time.run(open(fixture))).unwrap();
  const second = (await time.run(open(fixture))).unwrap();
  const [won, lost] = await time.run(Promise.all([
    first.publish(requestOf("anna", 5, 0)),
    second.publish(requestOf("ben", 9, 0)),
  ]));
  const fault = faultOf(lost as never);
  assert.equal(fault.status, EXIT_STATUS.conflict);
  const { position } = won.unwrap();
  assert.ok(
    fault.lines.some((line) =>
      line.includes(`anna won with revision ${position}`)
    ),
  );
  assert.ok(fault.lines.includes("  maxConcurrent: yours 9"));
  assert.ok(fault.lines.includes("  maxConcurrent: now   5"));
  const values = second.control.tree.resolve("/khomas").values;
  assert.equal(values.maxConcurrent, 5);
  await time.run(Promise.all([first.close(), second.close()]));
});

test("an edit during an outage is refused and changes nothing", async () => {
  const fixture = createLogFixture();
  const { time, log } = fixture;
  const session = (await time.run(open(fixture))).unwrap();
  log.faults.isDown = true;
  const refused = await time.run(session.publish(requestOf("anna", 5)));
  const fault = faultOf(refused as never);
  assert.equal(fault.status, EXIT_STATUS.unavailable);
  assert.equal(log.stream("control").payloads.length, 0);
  const closed = await time.run(open(fixture));
  assert.equal(faultOf(closed as never).status, EXIT_STATUS.unavailable);
  await time.run(session.close());
});

test("an edit whose reply is lost in an outage has unknown effect", async () => {
  const fixture = createLogFixture();
  const { time, log } = fixture;
  const session = (await time.run(open(fixture))).unwrap();
  log.faults.lostAppendAnswers = 1;
  log.faults.isDownAfterLostAnswer = true;
  const refused = await time.run(session.publish(requestOf("anna", 5)));
  assert.equal(faultOf(refused as never).status, EXIT_STATUS.unknown);
  await time.run(session.close());
});

test("the wait reports the VMs that lack the revision", async () => {
  const { time } = createLogFixture();
  const revisions = new Map([["a:1", 7], ["b:1", 3]]);
  const reports = await time.run(waitUntilInForce({
    operator: {
      logUrl: "http://log",
      vmListUrl: undefined,
      entries: ["a:1", "b:1", "c:1"],
      operatorToken: "t",
    },
    revision: 5,
    timeoutMs: 3000,
    readJson: (url) => {
      const vm = new URL(url).host;
      const revision = revisions.get(vm);
      if (revision === undefined) return Promise.reject(new Error("silent"));
      return Promise.resolve({ vm, revision });
    },
    clock: time.clock,
    sleep: time.sleep,
  }));
  const lagging = laggingEntries(reports, 5).map((
    { vm, reason },
  ) => [vm, reason]);
  assert.deepEqual(lagging, [["b:1", "has revision 3"], ["c:1", "silent"]]);
});

test("a listed VM that all others report dead is not awaited", () => {
  const reportOf = (
    vm: string,
    changes: Partial<EntryReport>,
  ): EntryReport => ({
    address: `${vm}:1`,
    vm,
    revision: undefined,
    isListed: true,
    members: undefined,
    reason: "",
    ...changes,
  });
  const dead = reportOf("c", {});
  const a = reportOf("a", { revision: 7, members: ["b"] });
  const b = reportOf("b", { revision: 7, members: ["a", "c"] });
  assert.deepEqual(laggingEntries([a, dead], 5), []);
  assert.deepEqual(laggingEntries([a, b, dead], 5), [dead]);
  assert.deepEqual(laggingEntries([dead], 5), [dead]);
  const unlisted = reportOf("d", { isListed: false });
  assert.deepEqual(laggingEntries([a, unlisted], 5), [unlisted]);
  const behind = reportOf("b", { revision: 3, members: [] });
  assert.deepEqual(laggingEntries([a, behind], 5), [behind]);
});

test("a check reports all faults of a tree at once", () => {
  const faults = checkTree({
    "/": { maxConcurrent: -1, nope: 1, catalogue: [], places: [] },
    "/a/b": { places: [], allowed: ["x"] },
    "no-path": {},
  }).unwrapErr();
  for (
    const word of ["maxConcurrent", "nope", "places", "allowed.0", "no-path"]
  ) {
    assert.ok(faults.some((fault) => fault.includes(word)), word);
  }
  const between = checkTree({
    "/": { catalogue: [], places: [], drainedPlaces: ["khomas-a"] },
    "/a": { allowed: ["tagger@3"], staleAfterMs: 1000 },
  }).unwrapErr();
  assert.equal(between.length, 3);
});

test("a load changes only the nodes that differ", () => {
  const now = SettingsTree.fromJson({
    "/": { maxConcurrent: 1 },
    "/a": { maxConcurrent: 2, fairWeight: 2 },
    "/b": { fairWeight: 3 },
  })._unsafeUnwrap();
  const nodes = checkTree({
    "/": { maxConcurrent: 1 },
    "/a": { maxConcurrent: 3 },
  })
    .unwrap();
  assert.deepEqual(changesBetween(now, nodes), [
    {
      path: "/a",
      change: { set: { maxConcurrent: 3 }, clear: ["fairWeight"] },
    },
    { path: "/b", change: { set: {}, clear: ["fairWeight"] } },
  ]);
});
