/** Tests of the circuit breaker. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  applyBreaker,
  type BreakerEvent,
  type BreakerState,
  CLOSED_BREAKER,
  isBreakerPassing,
} from "./breaker.ts";

const limits = {
  failuresToOpen: 2,
  firstPauseMs: 100,
  longestPauseMs: 300,
};

function after(
  events: readonly BreakerEvent[],
  options: { readonly nowMs: number; readonly from?: BreakerState },
): BreakerState {
  let state = options.from ?? CLOSED_BREAKER;
  for (const event of events) {
    state = applyBreaker(state, event, { nowMs: options.nowMs, limits });
  }
  return state;
}

test("consecutive failures open the breaker and a success closes it", () => {
  assert.equal(isBreakerPassing(after(["failure"], { nowMs: 0 }), 1), true);
  const open = after(["failure", "failure"], { nowMs: 0 });
  assert.equal(isBreakerPassing(open, 99), false);
  const closed = after(["success"], { nowMs: 150, from: open });
  assert.equal(isBreakerPassing(closed, 150), true);
});

test("a success between failures resets the count", () => {
  const state = after(["failure", "success", "failure"], { nowMs: 0 });
  assert.equal(state.phase, "closed");
});

test("after the pause one probe passes at a time", () => {
  const open = after(["failure", "failure"], { nowMs: 0 });
  assert.equal(isBreakerPassing(open, 100), true);
  const probing = after(["probe_sent"], { nowMs: 100, from: open });
  assert.equal(isBreakerPassing(probing, 150), false);
});

test("a failed probe doubles the pause up to its bound", () => {
  let state = after(["failure", "failure"], { nowMs: 0 });
  const pauses: number[] = [];
  for (let probe = 0; probe < 3; probe += 1) {
    state = after(["probe_sent", "failure"], { nowMs: 1000, from: state });
    pauses.push(state.pauseMs);
  }
  assert.deepEqual(pauses, [200, 300, 300]);
});
