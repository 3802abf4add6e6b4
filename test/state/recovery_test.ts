/**
 * Tests of start, retention, checkpoints and entries from peers: the state of a
 * journal never moves back.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type LogJournal } from "../../src/client/mod.ts";
import {
  controlCodec,
  positionOf,
  splitCheckpoint,
} from "../../src/state/mod.ts";
import {
  claimOf,
  createLogFixture,
  editOf,
  type LogFixture,
} from "./fixture.ts";

const APPEND = { timeoutMs: 5000 };
const RETENTION_MS = 3_600_000;

function putEdits(
  fixture: LogFixture,
  range: { readonly from: number; readonly to: number },
): void {
  for (let index = range.from; index < range.to; index += 1) {
    const base = index === 0 ? 0 : positionOf(index - 1, 0);
    const set = { maxConcurrent: index };
    fixture.log.put("control", [editOf(`e${index}`, { set, base })]);
  }
}

async function start(
  fixture: LogFixture,
  journal: LogJournal = fixture.open(),
): Promise<LogJournal> {
  journal.start();
  assert.ok(await fixture.time.run(journal.whenCaughtUp(60_000)));
  return journal;
}

function stateOf(journal: LogJournal): unknown {
  return JSON.parse(controlCodec.encode(journal.control()));
}

function copyRecent(from: LogJournal, to: LogJournal): void {
  to.applyPeerEntries(from.recordsAfter(to.control().position, 100));
}

test("a checkpoint written before retention ends lets others start", async () => {
  const fixture = createLogFixture();
  const { time, log } = fixture;
  putEdits(fixture, { from: 0, to: 20 });
  const first = await start(fixture);
  await time.run(first.append(claimOf("c1", "k1"), "k1", APPEND));
  await time.pass(RETENTION_MS / 2);
  for (const stream of ["control", "requests-0", "requests-1"]) {
    const { payloads } = log.stream(stream);
    log.dropBefore(stream, Math.max(0, payloads.length - 1));
  }
  const restarted = await start(fixture);
  assert.equal(restarted.control().revision, first.control().revision);
  assert.deepEqual(restarted.control().tree, first.control().tree);
  const claim = restarted.requests("k1").claimOf("/khomas/heritage", "k1");
  assert.equal(claim?.claim.id, "c1");
  await time.run(Promise.all([first.close(), restarted.close()]));
});

test("many processes write few checkpoints", async () => {
  const fixture = createLogFixture();
  putEdits(fixture, { from: 0, to: 3 });
  const journals: LogJournal[] = [];
  for (let index = 0; index < 8; index += 1) {
    const random = (): number => (index * 0.37 + 0.1) % 1;
    journals.push(await start(fixture, fixture.open({ random })));
  }
  await fixture.time.pass(RETENTION_MS);
  const { length } = fixture.log.stream("control").payloads;
  assert.ok(length > 3 + 2, `${length} entries`);
  assert.ok(length <= 3 + 16, `${length} entries`);
  await fixture.time.run(Promise.all(journals.map((one) => one.close())));
});

test("a paused process resumes from a checkpoint when entries were dropped", async () => {
  const fixture = createLogFixture();
  const { time, log } = fixture;
  putEdits(fixture, { from: 0, to: 5 });
  let resume = (): void => {};
  let pause = Promise.resolve();
  const paused = await start(
    fixture,
    fixture.open({
      transport: async (call) => {
        await pause;
        return await log.transport(call);
      },
    }),
  );
  const other = await start(fixture);
  pause = new Promise((resolve) => void (resume = resolve));
  await time.pass(5000);
  putEdits(fixture, { from: 5, to: 30 });
  await time.pass(RETENTION_MS / 2);
  const pausedRevision = paused.control().revision;
  log.dropBefore("control", log.stream("control").payloads.length - 1);
  assert.ok(pausedRevision < other.control().revision);
  resume();
  await time.pass(60_000);
  assert.deepEqual(stateOf(paused), stateOf(other));
  await time.run(Promise.all([other.close(), paused.close()]));
});

test("a checkpoint written twice changes nothing", async () => {
  const fixture = createLogFixture();
  const { time, log } = fixture;
  putEdits(fixture, { from: 0, to: 10 });
  const journal = await start(fixture);
  await time.pass(RETENTION_MS / 2);
  const before = journal.control().tree.toJson();
  const { payloads } = log.stream("control");
  payloads.push(...payloads.slice(10));
  putEdits(fixture, { from: 0, to: 0 });
  const restarted = await start(fixture);
  assert.deepEqual(restarted.control().tree.toJson(), before);
  assert.equal(restarted.control().revision, journal.control().revision);
  await time.run(Promise.all([journal.close(), restarted.close()]));
});

test("an unreadable checkpoint falls back to the previous one", async () => {
  const fixture = createLogFixture();
  const { time, log } = fixture;
  putEdits(fixture, { from: 0, to: 10 });
  const journal = await start(fixture);
  await time.pass(RETENTION_MS / 2);
  const covers = journal.control().position;
  const text = JSON.stringify({ kind: "control of a later release" });
  log.put(
    "control",
    splitCheckpoint({ covers, text }, "later")._unsafeUnwrap(),
  );
  log.dropBefore("control", 10);
  const restarted = await start(fixture);
  const { revision } = journal.control();
  assert.equal(restarted.control().revision, revision);
  assert.deepEqual(restarted.control().tree, journal.control().tree);
  await time.run(Promise.all([journal.close(), restarted.close()]));
});

test("a truncated log without a checkpoint is not taken as complete", async () => {
  const fixture = createLogFixture();
  putEdits(fixture, { from: 0, to: 10 });
  fixture.log.dropBefore("control", 5);
  let callCount = 0;
  const journal = fixture.open({
    transport: (call) => {
      callCount += 1;
      return fixture.log.transport(call);
    },
  });
  journal.start();
  assert.equal(await fixture.time.run(journal.whenCaughtUp(30_000)), false);
  assert.equal(journal.control().revision, 0);
  assert.ok(callCount < 500, `${callCount} calls in 30 s`);
  await fixture.time.run(journal.close());
});

test("a log that lost its end does not move the state back", async () => {
  const fixture = createLogFixture();
  const { time, log } = fixture;
  putEdits(fixture, { from: 0, to: 10 });
  const journal = await start(fixture);
  const { revision } = journal.control();
  log.stream("control").payloads.length = 4;
  putEdits(fixture, { from: 4, to: 6 });
  await time.pass(60_000);
  assert.equal(journal.control().revision, revision);
  assert.ok(journal.freshness().ageMs >= 50_000);
  await time.run(journal.close());
});

test("entries from peers are applied; gaps and older entries are dropped", async () => {
  const fixture = createLogFixture();
  putEdits(fixture, { from: 0, to: 10 });
  const full = await start(fixture);
  const cut = fixture.open();
  cut.applyPeerEntries(full.recordsAfter(positionOf(4, 0), 100));
  assert.equal(cut.control().position, 0);
  const fresh = { position: full.control().position, ageMs: 40 };
  cut.applyPeerEntries(full.recordsAfter(0, 4), fresh);
  assert.equal(cut.control().revision, positionOf(3, 0));
  assert.equal(cut.freshness().ageMs, Number.POSITIVE_INFINITY);
  cut.applyPeerEntries(full.recordsAfter(positionOf(3, 0), 100), fresh);
  assert.deepEqual(stateOf(cut), stateOf(full));
  assert.equal(cut.freshness().ageMs, 40);
  cut.applyPeerEntries(full.recordsAfter(0, 100));
  assert.deepEqual(stateOf(cut), stateOf(full));
  await fixture.time.run(full.close());
});

test("a peer far behind gets a checkpoint; an older one is ignored", async () => {
  const fixture = createLogFixture();
  putEdits(fixture, { from: 0, to: 2500 });
  const full = await start(fixture);
  const behind = fixture.open();
  copyRecent(full, behind);
  assert.equal(behind.control().revision, positionOf(2499, 0));
  putEdits(fixture, { from: 2500, to: 5000 });
  await fixture.time.pass(5000);
  const late = fixture.open();
  copyRecent(full, late);
  assert.deepEqual(stateOf(late), stateOf(full));
  const older = behind.recordsAfter(0, 100);
  assert.equal(older[0]?.offset, -1);
  late.applyPeerEntries(older);
  assert.equal(late.control().revision, positionOf(4999, 0));
  await fixture.time.run(full.close());
});
