/** Tests of the journal under faults of the log service. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { positionOf } from "../../src/state/mod.ts";
import { billOf, claimOf, createLogFixture, editOf } from "./fixture.ts";

const APPEND = { timeoutMs: 5000 };

test("an append resolves after its record was replayed", async () => {
  const { time, open } = createLogFixture();
  const journal = open();
  journal.start();
  const edit = editOf("e1", { set: { maxConcurrent: 9 } });
  const position = await time.run(journal.append(edit, "", APPEND));
  assert.equal(position._unsafeUnwrap(), positionOf(0, 0));
  assert.equal(journal.control().tree.resolve("/").values.maxConcurrent, 9);
  await time.run(journal.close());
});

test("queued records are appended as one batch", async () => {
  const { time, log, open } = createLogFixture();
  const journal = open({ writerCount: () => 300, appendBudgetPerSecond: 100 });
  journal.start();
  const claims = Array.from(
    { length: 60 },
    (_, index) => claimOf(`c${index}`, `k${index}`),
  );
  const appends = claims.map((claim) => journal.append(claim, "k", APPEND));
  const outcomes = await time.run(Promise.all(appends));
  assert.ok(outcomes.every((outcome) => outcome.isOk()));
  assert.ok(log.appendCount <= 2, `${log.appendCount} appends`);
  await time.run(journal.close());
});

test("an append whose reply is lost is found by reading, not repeated", async () => {
  const { time, log, open } = createLogFixture();
  const journal = open();
  journal.start();
  log.faults.lostAppendAnswers = 1;
  const outcome = await time.run(journal.append(editOf("e1"), "", APPEND));
  assert.equal(outcome._unsafeUnwrap(), positionOf(0, 0));
  await time.pass(10_000);
  assert.equal(log.stream("control").payloads.length, 1);
  await time.run(journal.close());
});

test("an append whose reply is lost is found while the long poll is silent", async () => {
  const { time, log, open } = createLogFixture();
  const journal = open({
    transport: (call) =>
      call.target.endsWith("waitMs=0") || call.method === "POST"
        ? log.transport(call)
        : time.sleep(60_000).then(() => log.transport(call)),
  });
  journal.start();
  log.faults.lostAppendAnswers = 1;
  const outcome = await time.run(journal.append(editOf("e1"), "", APPEND));
  assert.equal(outcome._unsafeUnwrap(), positionOf(0, 0));
  assert.equal(log.stream("control").payloads.length, 1);
  await time.run(journal.close());
});

test("a process stays within its share of the append budget", async () => {
  const { time, log, open } = createLogFixture();
  const journal = open({ writerCount: () => 50, appendBudgetPerSecond: 100 });
  journal.start();
  const startMs = time.clock();
  for (let index = 0; index < 30; index += 1) {
    const claim = claimOf(`c${index}`, `k${index}`);
    await time.run(journal.append(claim, `k${index}`, APPEND));
  }
  const share = (time.clock() - startMs) / 1000 * 100 / 50;
  assert.ok(log.appendCount <= share + 6, `${log.appendCount} of ${share}`);
  await time.run(journal.close());
});

test("an append lost before taking effect is sent again", async () => {
  const { time, log, open } = createLogFixture();
  const journal = open();
  journal.start();
  log.faults.lostAppends = 2;
  const outcome = await time.run(journal.append(editOf("e1"), "", APPEND));
  assert.ok(outcome.isOk());
  assert.equal(log.stream("control").payloads.length, 1);
  await time.run(journal.close());
});

test("an append refused as unavailable never appears in the log", async () => {
  const { time, log, open } = createLogFixture();
  const journal = open();
  journal.start();
  log.faults.isDown = true;
  const outcome = await time.run(journal.append(editOf("e1"), "", APPEND));
  assert.equal(outcome._unsafeUnwrapErr().fault, "unavailable");
  assert.equal(journal.freshness().isLogReachable, false);
  log.faults.isDown = false;
  await time.pass(30_000);
  assert.equal(log.stream("control").payloads.length, 0);
  assert.ok(journal.freshness().ageMs < 5000);
  await time.run(journal.close());
});

test("an append with unknown effect is reported as unknown", async () => {
  const { time, log, open } = createLogFixture();
  const journal = open();
  journal.start();
  log.faults.lostAppendAnswers = 1;
  log.faults.isDownAfterLostAnswer = true;
  const outcome = await time.run(journal.append(editOf("e1"), "", APPEND));
  assert.equal(outcome._unsafeUnwrapErr().fault, "unknown");
  log.faults.isDown = false;
  await time.pass(30_000);
  assert.notEqual(journal.control().editOf("e1"), undefined);
  await time.run(journal.close());
});

test("the queue is bounded", async () => {
  const { time, log, open } = createLogFixture();
  const journal = open({ queueLimit: 2 });
  journal.start();
  log.faults.isDown = true;
  const first = [
    journal.append(claimOf("c1", "k1"), "k", APPEND),
    journal.append(claimOf("c2", "k2"), "k", APPEND),
  ];
  const third = await journal.append(claimOf("c3", "k3"), "k", APPEND);
  assert.equal(third._unsafeUnwrapErr().fault, "full");
  await time.run(Promise.all(first));
  await time.run(journal.close());
});

test("without reading bills, a retried append resolves by the log's reply", async () => {
  const { time, log, open } = createLogFixture();
  const journal = open({ readsBills: false });
  journal.start();
  log.faults.lostAppendAnswers = 1;
  const outcome = await time.run(
    journal.append(billOf("b1", "r1"), "r1", APPEND),
  );
  assert.ok(outcome.isOk());
  const reader = open();
  reader.start();
  assert.ok(await time.run(reader.whenCaughtUp(5000)));
  assert.equal(reader.billOf("/khomas/heritage", "r1")?.id, "b1");
  await time.run(Promise.all([journal.close(), reader.close()]));
});
