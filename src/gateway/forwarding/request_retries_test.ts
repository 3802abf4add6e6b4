/** Tests of the retries that one request takes from its VM's budget. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { routeOf } from "../../decision/manifest_fixture.ts";
import { AttemptHistory } from "./attempt_history.ts";
import { type AttemptOutcome } from "./attempt_outcome.ts";
import { forwardContextOf } from "./forward_context_fixture.ts";
import { type ForwardRequest } from "./forward_context.ts";
import { RequestRetries } from "./request_retries.ts";
import { RetryBudget } from "./retry_budget.ts";

const ROUTE = routeOf({ maxAttempts: 3 });
const RESET: AttemptOutcome = {
  kind: "fault",
  isUnsent: false,
  cause: "reset",
};
const UNREACHED: AttemptOutcome = {
  kind: "fault",
  isUnsent: true,
  cause: "unreachable",
};

/** Returns how often a request may be sent again after each outcome. */
function takenAfter(outcomes: readonly AttemptOutcome[]): boolean[] {
  const { context } = forwardContextOf([]);
  const budget = new RetryBudget({
    fleetBound: { ratio: 0, slackCount: 1.2, windowMs: 10_000 },
    clock: context.clock,
    vmCount: () => 1,
  });
  const history = new AttemptHistory(ROUTE);
  const request = {
    caller: { id: "request-1", promptParts: [] },
    route: ROUTE,
    service: "drafting",
    digest: "one",
  } as unknown as ForwardRequest;
  const retries = new RequestRetries({ ...context, budget }, request, {
    history,
    timeLeftMs: () => 10_000,
  });
  return outcomes.map((outcome, index) => {
    history.addAttempt(`server-${index}`);
    history.addOutcome(`server-${index}`, outcome);
    return retries.take("failure");
  });
}

// Guards against LOST: streams cut as attempts that reached no server had used up
// the retries of their VM.
test("a retry that reached no server is left for the next attempt", () => {
  assert.deepEqual(takenAfter([RESET, UNREACHED, UNREACHED]), [
    true,
    true,
    true,
  ]);
  assert.deepEqual(takenAfter([UNREACHED, RESET, UNREACHED, RESET]), [
    true,
    true,
    true,
    false,
  ]);
  assert.deepEqual(takenAfter([RESET, RESET]), [true, false]);
});
