/** Tests of admission: order, fairness, bounds and immediate refusals. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { REQUEST_CLASSES } from "../model/mod.ts";
import {
  type AdmissionEffect,
  type AdmissionEvent,
  applyAdmission,
  createAdmission,
} from "./admission.ts";
import { type AdmissionState, type Arrival } from "./admission_order.ts";

const limits = {
  queueLimit: 50,
  workspaceQueueLimit: 30,
  shortestRetryMs: 100,
  longestRetryMs: 5000,
};

function arrivalOf(requestId: string, changes: Partial<Arrival> = {}): Arrival {
  return {
    requestId,
    workspace: "/khomas/heritage",
    requestClass: "drafting",
    fairWeight: 1,
    maxConcurrent: 100,
    startByMs: 1_000_000,
    ...changes,
  };
}

class Bench {
  state: AdmissionState;
  readonly effects: AdmissionEffect[] = [];

  constructor(runningLimit: number) {
    this.state = createAdmission(runningLimit);
  }

  apply(event: AdmissionEvent, nowMs = 0): void {
    const step = applyAdmission(this.state, event, { nowMs, limits });
    this.state = step.state;
    this.effects.push(...step.effects);
  }

  arrive(requestId: string, changes: Partial<Arrival> = {}): void {
    this.apply({ kind: "arrive", arrival: arrivalOf(requestId, changes) });
  }

  admitted(): string[] {
    return this.effects.filter((one) => one.kind === "admit")
      .map((one) => one.requestId);
  }

  refused(): string[] {
    return this.effects.filter((one) => one.kind === "refuse")
      .map((one) => one.requestId);
  }
}

test("a lookup passes waiting reviews", () => {
  const bench = new Bench(1);
  bench.arrive("running");
  bench.arrive("review", { requestClass: "review" });
  bench.arrive("lookup", { requestClass: "lookup" });
  bench.apply({ kind: "leave", requestId: "running" });
  assert.deepEqual(bench.admitted(), ["running", "lookup"]);
});

test("reviews leave places free for lookups", () => {
  const bench = new Bench(10);
  for (let count = 0; count < 10; count += 1) {
    bench.arrive(`review-${count}`, { requestClass: "review" });
  }
  assert.equal(bench.admitted().length, 5);
  bench.arrive("lookup", { requestClass: "lookup" });
  assert.equal(bench.admitted().at(-1), "lookup");
});

test("lookups that fill their places don't count against reviews", () => {
  const bench = new Bench(10);
  for (let count = 0; count < 9; count += 1) {
    bench.arrive(`lookup-${count}`, { requestClass: "lookup" });
  }
  bench.arrive("review", { requestClass: "review" });
  assert.equal(bench.admitted().at(-1), "review");
});

test("a review is let in though lookups keep coming", () => {
  const bench = new Bench(1);
  bench.arrive("first");
  bench.arrive("slow", { requestClass: "review" });
  for (let turn = 0; turn < 10; turn += 1) {
    bench.arrive(`lookup-${turn}`, { requestClass: "lookup" });
  }
  for (let turn = 0; turn < 8; turn += 1) {
    const running = bench.admitted().at(-1) ?? "";
    bench.apply({ kind: "leave", requestId: running });
  }
  assert.ok(bench.admitted().includes("slow"));
});

test("one workspace flooding does not hold up another", () => {
  const bench = new Bench(1);
  bench.arrive("first");
  for (let index = 0; index < 20; index += 1) bench.arrive(`flood-${index}`);
  bench.arrive("other", { workspace: "/erongo/archive" });
  bench.apply({ kind: "leave", requestId: "first" });
  assert.equal(bench.admitted().at(-1), "other");
});

test("a workspace's own limit holds only its requests back", () => {
  const bench = new Bench(10);
  bench.arrive("a", { maxConcurrent: 1 });
  bench.arrive("b", { maxConcurrent: 1 });
  bench.arrive("c", { workspace: "/erongo/archive" });
  assert.deepEqual(bench.admitted(), ["a", "c"]);
});

test("a request that cannot start in time is refused at once", () => {
  const bench = new Bench(1);
  bench.arrive("running");
  bench.arrive("waiting");
  bench.arrive("late", { startByMs: 1000 });
  assert.deepEqual(bench.refused(), ["late"]);
});

test("a waiting request is refused as soon as its time is past", () => {
  const bench = new Bench(1);
  bench.arrive("running");
  bench.arrive("waiting", { startByMs: 1500 });
  bench.apply({ kind: "tick" }, 1499);
  assert.deepEqual(bench.refused(), []);
  bench.apply({ kind: "tick" }, 1501);
  assert.deepEqual(bench.refused(), ["waiting"]);
});

const eventArbitrary = fc.oneof(
  fc.record({
    kind: fc.constant("arrive" as const),
    id: fc.nat(30),
    workspace: fc.constantFrom("/a/x" as const, "/a/y" as const),
    requestClass: fc.constantFrom(...REQUEST_CLASSES),
    startByMs: fc.nat(5000),
  }),
  fc.record({ kind: fc.constant("leave" as const), id: fc.nat(30) }),
  fc.record({ kind: fc.constant("tick" as const) }),
);

test("no arrival is lost, none is answered twice, limits hold", () => {
  fc.assert(
    fc.property(fc.array(eventArbitrary, { maxLength: 80 }), (events) => {
      const bench = new Bench(3);
      const arrived = new Set<string>();
      for (const [index, event] of events.entries()) {
        const nowMs = index * 10;
        if (event.kind === "arrive") {
          const id = `r${index}`;
          arrived.add(id);
          const arrival = arrivalOf(id, event);
          bench.apply({ kind: "arrive", arrival }, nowMs);
        } else if (event.kind === "leave") {
          const requestId = [...bench.state.running.keys()][event.id % 3];
          if (requestId === undefined) continue;
          bench.apply({ kind: "leave", requestId }, nowMs);
        } else {
          bench.apply({ kind: "tick" }, nowMs);
        }
        assert.ok(bench.state.running.size <= 3);
      }
      const answered = [...bench.admitted(), ...bench.refused()];
      assert.equal(new Set(answered).size, answered.length);
      const waiting = bench.state.waiting.size;
      assert.equal(answered.length + waiting, arrived.size);
    }),
    { seed: 7, numRuns: 200 },
  );
});
