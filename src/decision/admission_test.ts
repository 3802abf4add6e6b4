/** Tests of admission: order, fairness, limits and immediate refusals. */
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
  minRetryAfterMs: 100,
  maxRetryAfterMs: 5000,
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

class Harness {
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
    return this.effects.filter((effect) => effect.kind === "admit")
      .map((effect) => effect.requestId);
  }

  refused(): string[] {
    return this.effects.filter((effect) => effect.kind === "refuse")
      .map((effect) => effect.requestId);
  }
}

test("a lookup is admitted before waiting reviews", () => {
  const harness = new Harness(1);
  harness.arrive("running");
  harness.arrive("review", { requestClass: "review" });
  harness.arrive("lookup", { requestClass: "lookup" });
  harness.apply({ kind: "leave", requestId: "running" });
  assert.deepEqual(harness.admitted(), ["running", "lookup"]);
});

test("reviews leave slots free for lookups", () => {
  const harness = new Harness(10);
  for (let count = 0; count < 10; count += 1) {
    harness.arrive(`review-${count}`, { requestClass: "review" });
  }
  assert.equal(harness.admitted().length, 5);
  harness.arrive("lookup", { requestClass: "lookup" });
  assert.equal(harness.admitted().at(-1), "lookup");
});

test("lookups do not count against the slots of reviews", () => {
  const harness = new Harness(10);
  for (let count = 0; count < 9; count += 1) {
    harness.arrive(`lookup-${count}`, { requestClass: "lookup" });
  }
  harness.arrive("review", { requestClass: "review" });
  assert.equal(harness.admitted().at(-1), "review");
});

test("a review is admitted while lookups keep arriving", () => {
  const harness = new Harness(1);
  harness.arrive("first");
  harness.arrive("slow", { requestClass: "review" });
  for (let turn = 0; turn < 10; turn += 1) {
    harness.arrive(`lookup-${turn}`, { requestClass: "lookup" });
  }
  for (let turn = 0; turn < 8; turn += 1) {
    const running = harness.admitted().at(-1) ?? "";
    harness.apply({ kind: "leave", requestId: running });
  }
  assert.ok(harness.admitted().includes("slow"));
});

test("a burst from one workspace does not delay another", () => {
  const harness = new Harness(1);
  harness.arrive("first");
  for (let index = 0; index < 20; index += 1) harness.arrive(`flood-${index}`);
  harness.arrive("other", { workspace: "/erongo/archive" });
  harness.apply({ kind: "leave", requestId: "first" });
  assert.equal(harness.admitted().at(-1), "other");
});

test("a workspace's limit delays only its requests", () => {
  const harness = new Harness(10);
  harness.arrive("a", { maxConcurrent: 1 });
  harness.arrive("b", { maxConcurrent: 1 });
  harness.arrive("c", { workspace: "/erongo/archive" });
  assert.deepEqual(harness.admitted(), ["a", "c"]);
});

test("a request that cannot start in time is refused at once", () => {
  const harness = new Harness(1);
  harness.arrive("running");
  harness.arrive("waiting");
  harness.arrive("late", { startByMs: 1000 });
  assert.deepEqual(harness.refused(), ["late"]);
});

test("a waiting request is refused once its latest start has passed", () => {
  const harness = new Harness(1);
  harness.arrive("running");
  harness.arrive("waiting", { startByMs: 1500 });
  harness.apply({ kind: "tick" }, 1499);
  assert.deepEqual(harness.refused(), []);
  harness.apply({ kind: "tick" }, 1501);
  assert.deepEqual(harness.refused(), ["waiting"]);
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

test("no arrival is lost or answered twice, and limits hold", () => {
  fc.assert(
    fc.property(fc.array(eventArbitrary, { maxLength: 80 }), (events) => {
      const harness = new Harness(3);
      const arrived = new Set<string>();
      for (const [index, event] of events.entries()) {
        const nowMs = index * 10;
        if (event.kind === "arrive") {
          const id = `r${index}`;
          arrived.add(id);
          const arrival = arrivalOf(id, event);
          harness.apply({ kind: "arrive", arrival }, nowMs);
        } else if (event.kind === "leave") {
          const requestId = [...harness.state.running.keys()][event.id % 3];
          if (requestId === undefined) continue;
          harness.apply({ kind: "leave", requestId }, nowMs);
        } else {
          harness.apply({ kind: "tick" }, nowMs);
        }
        assert.ok(harness.state.running.size <= 3);
      }
      const answered = [...harness.admitted(), ...harness.refused()];
      assert.equal(new Set(answered).size, answered.length);
      const waiting = harness.state.waiting.size;
      assert.equal(answered.length + waiting, arrived.size);
    }),
    { seed: 7, numRuns: 200 },
  );
});
