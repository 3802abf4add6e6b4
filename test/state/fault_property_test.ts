/**
 * Journals under random faults of the log: whatever happens, replicas agree,
 * what an append said of its record is true, and no revision falls.
 */
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type LogJournal } from "../../src/client/mod.ts";
import {
  controlCodec,
  decodeEntry,
  type LogRecord,
  positionOf,
  requestCodec,
} from "../../src/state/mod.ts";
import {
  claimOf,
  createLogFixture,
  editOf,
  type LogFixture,
} from "./fixture.ts";

const SEED = 20_261_203;
const JOURNALS = 3;
const KEYS = ["k1", "k2"];
const STREAMS = ["control", "requests-0", "requests-1"];
const APPEND = { timeoutMs: 4000 };
const RETENTION_MS = 30_000;

type Step =
  | {
    readonly kind: "edit" | "claim";
    readonly by: number;
    readonly key: number;
  }
  | { readonly kind: "lose_answers" | "lose_appends"; readonly count: number }
  | { readonly kind: "down" | "up" }
  | { readonly kind: "slow"; readonly latencyMs: number }
  | { readonly kind: "restart" | "gossip"; readonly by: number }
  | { readonly kind: "pass"; readonly durationMs: number };

const byArbitrary = fc.nat(JOURNALS - 1);
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constantFrom("edit" as const, "claim" as const),
      by: byArbitrary,
      key: fc.nat(KEYS.length - 1),
    }),
  },
  fc.record({
    kind: fc.constantFrom("lose_answers" as const, "lose_appends" as const),
    count: fc.integer({ min: 1, max: 3 }),
  }),
  fc.record({ kind: fc.constantFrom("down" as const, "up" as const) }),
  fc.record({
    kind: fc.constant("slow" as const),
    latencyMs: fc.constantFrom(1, 300, 1500),
  }),
  fc.record({
    kind: fc.constantFrom("restart" as const, "gossip" as const),
    by: byArbitrary,
  }),
  fc.record({
    kind: fc.constant("pass" as const),
    durationMs: fc.constantFrom(5, 700, 9000, 20_000),
  }),
);

/** The length of each stream after some time in which the log was up. */
interface Mark {
  readonly upMs: number;
  readonly lengths: readonly number[];
}

interface Told {
  readonly record: LogRecord;
  readonly said: "ok" | "unavailable" | "unknown" | "full";
}

class Run {
  readonly #fixture: LogFixture = createLogFixture();
  readonly #journals: LogJournal[] = [];
  readonly #told: Promise<Told>[] = [];
  readonly #marks: Mark[] = [];
  #upMs = 0;
  #recordCount = 0;

  constructor() {
    for (let by = 0; by < JOURNALS; by += 1) this.#start(by);
  }

  async take(steps: readonly Step[]): Promise<void> {
    for (const step of steps) await this.#take(step);
    const { time, log } = this.#fixture;
    log.faults.isDown = false;
    log.faults.lostAppendAnswers = 0;
    log.faults.lostAppends = 0;
    log.faults.latencyMs = 1;
    for (let round = 0; round < 3; round += 1) await this.#pass(20_000);
    await this.#waitForOnePosition();
    this.#checkAgreement();
    await this.#checkTold();
    const closing = this.#journals.map((journal) => journal.close());
    await time.run(Promise.all(closing));
  }

  async #take(step: Step): Promise<void> {
    const { time, log } = this.#fixture;
    switch (step.kind) {
      case "edit":
      case "claim":
        return this.#append(step.kind, step.by, step.key);
      case "lose_answers":
        log.faults.lostAppendAnswers = step.count;
        return;
      case "lose_appends":
        log.faults.lostAppends = step.count;
        return;
      case "down":
      case "up":
        log.faults.isDown = step.kind === "down";
        return;
      case "slow":
        log.faults.latencyMs = step.latencyMs;
        return;
      case "restart":
        await time.run(this.#at(step.by).close());
        return this.#start(step.by);
      case "gossip":
        return this.#gossip(step.by);
      case "pass":
        return await this.#pass(step.durationMs);
    }
  }

  /** Lets time pass; the log drops what is older than its retention. */
  async #pass(durationMs: number): Promise<void> {
    const { time, log } = this.#fixture;
    await time.pass(durationMs);
    if (log.faults.isDown) return;
    this.#upMs += durationMs;
    const lengths = STREAMS.map((name) => log.stream(name).payloads.length);
    this.#marks.push({ upMs: this.#upMs, lengths });
    const old = this.#marks.findLast(({ upMs }) =>
      upMs <= this.#upMs - RETENTION_MS
    );
    for (const [index, name] of STREAMS.entries()) {
      log.dropBefore(name, old?.lengths[index] ?? 0);
    }
  }

  #at(by: number): LogJournal {
    return this.#journals[by] as LogJournal;
  }

  #start(by: number): void {
    const journal = this.#fixture.open({
      writerCount: () => JOURNALS,
      retentionMs: RETENTION_MS,
    });
    this.#journals[by] = journal;
    let newest = 0;
    journal.onChange(() => {
      const { revision } = journal.control();
      assert.ok(revision >= newest, "a revision fell");
      newest = revision;
    });
    journal.start();
  }

  #append(kind: "edit" | "claim", by: number, keyIndex: number): void {
    const id = `r${this.#recordCount += 1}`;
    const key = KEYS[keyIndex] ?? "";
    const journal = this.#at(by);
    const base = journal.control().revision;
    const record = kind === "edit" ? editOf(id, { base }) : claimOf(id, key);
    const told = journal.append(record, key, APPEND).then((outcome) => ({
      record,
      said: outcome.isOk() ? "ok" as const : outcome.error.fault,
    }));
    this.#told.push(told);
  }

  #gossip(by: number): void {
    const from = this.#at(by);
    for (const to of this.#journals) {
      to.applyPeerEntries(from.recordsAfter(to.control().position, 3), {
        position: from.control().position,
        ageMs: from.freshness().ageMs,
      });
    }
  }

  /** Checkpoints go on being written, so positions meet only now and then. */
  async #waitForOnePosition(): Promise<void> {
    for (let round = 0; round < 100; round += 1) {
      const positions = this.#journals.map((journal) =>
        [
          journal.control().position,
          ...KEYS.map((key) => journal.requests(key).position),
        ].join(" ")
      );
      if (new Set(positions).size === 1) return;
      await this.#fixture.time.pass(10);
    }
    assert.fail("the journals do not come to one position");
  }

  #checkAgreement(): void {
    const states = this.#journals.map((journal) =>
      [
        controlCodec.encode(journal.control()),
        ...KEYS.map((key) => requestCodec.encode(journal.requests(key))),
      ].map((text) => JSON.parse(text))
    );
    for (const state of states) assert.deepEqual(state, states[0]);
  }

  async #checkTold(): Promise<void> {
    const { time } = this.#fixture;
    const inLog = this.#idsInLog();
    for (const { record, said } of await time.run(Promise.all(this.#told))) {
      if (said === "ok") assert.ok(inLog.has(record.id), "ok, not in the log");
      if (said === "unavailable" || said === "full") {
        assert.ok(!inLog.has(record.id), `${said}, yet in the log`);
      }
    }
  }

  #idsInLog(): Set<string> {
    const ids = new Set<string>();
    for (const stream of STREAMS) {
      const { payloads } = this.#fixture.log.stream(stream);
      for (const [offset, payload] of payloads.entries()) {
        for (const record of decodeEntry(offset, payload).records) {
          if (record.kind !== "skipped") ids.add(record.id);
        }
      }
    }
    return ids;
  }
}

test("under random faults replicas agree and appends tell the truth", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(stepArbitrary, { minLength: 1, maxLength: 30 }),
      (steps) => new Run().take(steps),
    ),
    { seed: SEED, numRuns: 60 },
  );
});

test("an outage of an hour ends with every replica current", async () => {
  const { time, log, open } = createLogFixture();
  const journals = [open(), open()];
  for (const journal of journals) journal.start();
  await time.pass(1000);
  log.faults.isDown = true;
  await time.pass(3_500_000);
  for (const journal of journals) {
    assert.ok(journal.freshness().ageMs >= 3_490_000);
    assert.equal(journal.freshness().isLogReachable, false);
  }
  log.put("control", [editOf("e1")]);
  log.faults.isDown = false;
  await time.pass(8000);
  for (const journal of journals) {
    assert.equal(journal.control().revision, positionOf(0, 0));
    assert.ok(journal.freshness().ageMs < 8000);
  }
  await time.run(Promise.all(journals.map((journal) => journal.close())));
});
