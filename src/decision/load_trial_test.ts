/** Tests of the load trial of a roll-out's target. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { type BackendCandidate } from "./backend_choice.ts";
import { firstUnfilled, loadTrialQuota } from "./load_trial.ts";

function candidateOf(
  id: string,
  fields: Partial<BackendCandidate> = {},
): BackendCandidate {
  return {
    id,
    place: "khomas-a",
    loadCount: 0,
    slotCount: 6,
    waitMs: 0,
    failureShare: 0,
    isSuspect: false,
    ...fields,
  };
}

test("servers are filled one after the other, in the same order on every VM", () => {
  const idle = ["a", "b", "c"].map((id) => candidateOf(id));
  const first = firstUnfilled(idle, []);
  assert.ok(first !== undefined);
  assert.equal(firstUnfilled(idle.toReversed(), []), first);
  const rest = idle.filter((one) => one !== first);
  for (const loadCount of [1, 2, 3]) {
    const busier = candidateOf(first.id, { loadCount });
    assert.equal(firstUnfilled([...rest, busier], []), busier);
  }
  const filled = candidateOf(first.id, { loadCount: 4 });
  const next = firstUnfilled([...rest, filled], []);
  assert.ok(next !== undefined && rest.includes(next));
});

test("servers that fail requests or are suspect are not filled", () => {
  const servers = [candidateOf("a"), candidateOf("b", { isSuspect: true })];
  assert.equal(firstUnfilled(servers, ["a"]), undefined);
  assert.equal(firstUnfilled(servers, [])?.id, "a");
});

test("all VMs together send no more than the requests that are allowed", () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 400 }),
      fc.integer({ min: 0, max: 100 }),
      (vmCount, slackCount) => {
        let sum = 0;
        for (let vm = 0; vm < vmCount; vm++) {
          const vmHashShare = (vm + 0.5) / vmCount;
          sum += loadTrialQuota({ slackCount, vmCount, vmHashShare });
        }
        assert.ok(sum <= slackCount, `${sum} of ${slackCount}`);
        assert.ok(sum >= slackCount / 2 - 1, `${sum} of ${slackCount}`);
      },
    ),
  );
});

// Guards against EXPOSURE: each VM that has just started sends the whole trial.
test("a VM that doesn't know how many VMs there are sends no request of the trial", () => {
  const quota = loadTrialQuota({
    slackCount: 30,
    vmCount: undefined,
    vmHashShare: 0.99,
  });
  assert.equal(quota, 0);
});
