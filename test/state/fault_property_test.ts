/**
 * Journals under random faults of the log: after every run the replicas agree,
 * the outcome of each append matches the log, and no revision decreased.
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
const JOURNAL_COUNT = 3;
const KEYS = ["k1", "k2"];
const STREAMS = ["control", "requests-0", "requests-1"];
const APPEND = { timeoutMs: 4000 };
const RETENTION_MS = 30_000;

type Step =
  | {
    readonly kind: "edit" | "claim";
    readonly journalIndex: number;
    readonly key: number;
  }
  | { readonly kind: "lose_answers" | "lose_appends"; readonly count: number }
  | { readonly kind: "down" | "up" }
  | { readonly kind: "slow"; readonly latencyMs: number }
  | { readonly kind: "restart" | "gossip"; readonly journalIndex: number }
  | { readonly kind: "pass"; readonly durationMs: number };

const journalIndexArbitrary = fc.nat(JOURNAL_COUNT - 1);
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constantFrom("edit" as const, "claim" as const),
      journalIndex: journalIndexArbitrary,
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
    journalIndex: journalIndexArbitrary,
  }),
  fc.record({
    kind: fc.constant("pass" as const),
    durationMs: fc.constantFrom(5, 700, 9000, 20_000),
  }),
);

/** Stream lengths after `upMs` of log uptime. */
interface LengthSample {
  readonly upMs: number;
  readonly lengths: readonly number[];
}

interface AppendResult {
  readonly record: LogRecord;
  readonly outcome: "ok" | "unavailable" | "unknown" | "full";
}

class Run {
  readonly #fixture: LogFixture = createLogFixture();
  readonly #journals: LogJournal[] = [];
  readonly #appends: Promise<AppendResult>[] = [];
  readonly #lengthSamples: LengthSample[] = [];
  #upMs = 0;
  #recordCount = 0;

  constructor() {
    for (let index = 0; index < JOURNAL_COUNT; index += 1) this.#start(index);
  }

  async run(steps: readonly Step[]): Promise<void> {
    for (const step of steps) await this.#execute(step);
    const { time, log } = this.#fixture;
    log.faults.isDown = false;
    log.faults.lostAppendAnswers = 0;
    log.faults.lostAppends = 0;
    log.faults.latencyMs = 1;
    for (let round = 0; round < 3; round += 1) await this.#pass(20_000);
    await this.#waitForSamePosition();
    this.#checkAgreement();
    await this.#checkAppendResults();
    const closing = this.#journals.map((journal) => journal.close());
    await time.run(Promise.all(closing));
  }

  async #execute(step: Step): Promise<void> {
    const { time, log } = this.#fixture;
    switch (step.kind) {
      case "edit":
      case "claim":
        return this.#append(step.kind, step.journalIndex, step.key);
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
        await time.run(this.#at(step.journalIndex).close());
        return this.#start(step.journalIndex);
      case "gossip":
        return this.#gossip(step.journalIndex);
      case "pass":
        return await this.#pass(step.durationMs);
    }
  }

  /** Lets time pass; the log drops entries older than its retention. */
  async #pass(durationMs: number): Promise<void> {
    const { time, log } = this.#fixture;
    await time.pass(durationMs);
    if (log.faults.isDown) return;
    this.#upMs += durationMs;
    const lengths = STREAMS.map((name) => log.stream(name).payloads.length);
    this.#lengthSamples.push({ upMs: this.#upMs, lengths });
    const expired = this.#lengthSamples.findLast(({ upMs }) =>
      upMs <= this.#upMs - RETENTION_MS
    );
    for (const [index, name] of STREAMS.entries()) {
      log.dropBefore(name, expired?.lengths[index] ?? 0);
    }
  }

  #at(index: number): LogJournal {
    return this.#journals[index] as LogJournal;
  }

  #start(index: number): void {
    const journal = this.#fixture.open({
      writerCount: () => JOURNAL_COUNT,
      retentionMs: RETENTION_MS,
    });
    this.#journals[index] = journal;
    let newest = 0;
    journal.onChange(() => {
      const { revision } = journal.control();
      assert.ok(revision >= newest, "a revision decreased");
      newest = revision;
    });
    journal.start();
  }

  #append(kind: "edit" | "claim", index: number, keyIndex: number): void {
    const id = `r${this.#recordCount += 1}`;
    const key = KEYS[keyIndex] ?? "";
    const journal = this.#at(index);
    const base = journal.control().revision;
    const record = kind === "edit" ? editOf(id, { base }) : claimOf(id, key);
    const appending = journal.append(record, key, APPEND).then((result) => ({
      record,
      outcome: result.isOk() ? "ok" as const : result.error.fault,
    }));
    this.#appends.push(appending);
  }

  #gossip(index: number): void {
    const from = this.#at(index);
    for (const to of this.#journals) {
      to.applyPeerEntries(from.recordsAfter(to.control().position, 3), {
        position: from.control().position,
        ageMs: from.freshness().ageMs,
      });
    }
  }

  /**
   * Waits until all journals are at the same position. They keep writing
   * checkpoints, so their positions are equal only at times.
   */
  async #waitForSamePosition(): Promise<void> {
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
    assert.fail("the journals did not reach the same position");
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

  async #checkAppendResults(): Promise<void> {
    const { time } = this.#fixture;
    const inLog = this.#idsInLog();
    for (
      const { record, outcome } of await time.run(Promise.all(this.#appends))
    ) {
      if (outcome === "ok") assert.ok(inLog.has(record.id), "not in the log");
      if (outcome === "unavailable" || outcome === "full") {
        assert.ok(!inLog.has(record.id), `${outcome}, but in the log`);
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

test("under random faults replicas agree and append outcomes are true", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(stepArbitrary, { minLength: 1, maxLength: 30 }),
      (steps) => new Run().run(steps),
    ),
    { seed: SEED, numRuns: 60 },
  );
});

test("every replica is current after an outage of an hour", async () => {
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
