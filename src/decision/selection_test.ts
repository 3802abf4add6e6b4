/** Tests of the choice of versions. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type VersionName } from "../model/mod.ts";
import { LocalStops } from "./local_stops.ts";
import {
  mayStart,
  planVersions,
  type SelectionInput,
  type VersionPlan,
} from "./selection.ts";
import {
  createControl,
  createPlan,
  createQualityTable,
  createSelectionInput,
  createSettings,
  createStep,
} from "./version_fixture.ts";

function planOf(changes: Partial<SelectionInput>): VersionPlan {
  return planVersions(createSelectionInput(changes))._unsafeUnwrap();
}

function firstShare(
  version: VersionName,
  changes: Partial<SelectionInput>,
): number {
  const keys = Array.from({ length: 2000 }, (_, index) => `key-${index}`);
  const hits = keys.filter((key) =>
    planOf({ ...changes, key }).first === version
  );
  return hits.length / keys.length;
}

test("the cheapest version whose lower bound meets the target is first", () => {
  assert.equal(planOf({}).first, "middle@1");
  const quality = createQualityTable([
    { version: "small@1", count: 500, scoreShare: 0.8 },
  ]);
  assert.equal(planOf({ quality }).first, "small@1");
});

test("a few good ratings do not make a version trusted", () => {
  const quality = createQualityTable([
    { version: "small@1", count: 5, scoreShare: 0.9 },
  ]);
  assert.equal(planOf({ quality }).first, "middle@1");
});

test("the best version answers if none meets the target", () => {
  const settings = createSettings({ qualityTargetShare: 0.99 });
  const plan = planOf({ settings });
  assert.equal(plan.first, "large@1");
  assert.equal(plan.meetsTarget, false);
});

test("a withdrawn version is no candidate, even if it is the cheapest", () => {
  const settings = createSettings({
    withdrawn: [{ version: "middle@1", running: "finish" }],
  });
  assert.equal(planOf({ settings }).first, "large@1");
  const none = createSettings({ allowed: [] });
  const refusal = planVersions(createSelectionInput({ settings: none }));
  const { outcome, reason } = refusal._unsafeUnwrapErr();
  assert.deepEqual([outcome, reason], ["not_run", "no_allowed_version"]);
});

test("a session stays on its version and has no escalations", () => {
  const settings = createSettings({ cascade: "before_relay" });
  const unpinned = planOf({ settings, isInSession: true });
  assert.deepEqual([unpinned.first, unpinned.escalations], ["middle@1", []]);
  const pinned = planOf({ settings, isInSession: true, pinned: "large@1" });
  assert.deepEqual([pinned.first, pinned.escalations], ["large@1", []]);
});

test("a request pinned to a withdrawn version is refused as not run", () => {
  const settings = createSettings({
    withdrawn: [{ version: "large@1", running: "finish" }],
  });
  const input = createSelectionInput({ settings, pinned: "large@1" });
  const refusal = planVersions(input)._unsafeUnwrapErr();
  assert.equal(refusal.outcome, "not_run");
  assert.equal(refusal.reason, "version_withdrawn");
});

test("a roll-out exposes its step's share of keys, and later steps add keys", () => {
  const settings = createSettings({
    allowed: ["middle@1", "middle@2"],
    rollouts: [createPlan()],
  });
  assert.equal(firstShare("middle@2", { settings }), 0);
  const start = createStep("start");
  const started = createControl([start]);
  const share = firstShare("middle@2", { settings, control: started });
  assert.ok(share > 0.03 && share < 0.07, `exposed ${share}`);
  const after = started.position;
  const control = createControl([
    start,
    createStep("advance", { after, stepIndex: 1 }),
  ]);
  for (let index = 0; index < 2000; index += 1) {
    const key = `key-${index}`;
    const early = planOf({ settings, control: started, key }).first;
    if (early !== "middle@2") continue;
    assert.equal(planOf({ settings, control, key }).first, "middle@2");
  }
});

test("a local stop or a withdraw step ends exposure at once", () => {
  const settings = createSettings({
    allowed: ["middle@1", "middle@2"],
    rollouts: [createPlan({ stepShares: [1] })],
  });
  const control = createControl([createStep("start")]);
  assert.equal(planOf({ settings, control }).first, "middle@2");
  const localStops = LocalStops.empty.add({
    version: "middle@2",
    position: control.position,
    reason: "ratings",
  });
  assert.equal(planOf({ settings, control, localStops }).first, "middle@1");
  const withdrawn = createControl([
    createStep("start"),
    createStep("withdraw", { after: control.position }),
  ]);
  assert.equal(planOf({ settings, control: withdrawn }).first, "middle@1");
  const input = createSelectionInput({ settings, control: withdrawn });
  assert.equal(mayStart("middle@2", input), false);
});

test("a new start after the stop lifts a local stop", () => {
  const started = createControl([createStep("start")]);
  const stops = LocalStops.empty.add({
    version: "middle@2",
    position: started.position,
    reason: "ratings",
  });
  assert.equal(stops.withoutLifted(started).has("middle@2"), true);
  const again = createControl([
    createStep("start"),
    createStep("start", { id: "again", after: started.position }),
  ]);
  assert.equal(stops.withoutLifted(again).has("middle@2"), false);
});

test("a cascade runs a cheaper version first only if ratings are available", () => {
  const settings = createSettings({ cascade: "before_relay" });
  const quality = createQualityTable([
    { version: "small@1", count: 300, scoreShare: 0.9 },
    { version: "small@1", count: 300, scoreShare: 0.45 },
  ]);
  const plan = planOf({ settings, quality });
  assert.deepEqual(
    [plan.first, plan.escalation, plan.escalations[0]],
    ["small@1", "required", "middle@1"],
  );
  const unrated = planOf({ settings, quality, isRatingAvailable: false });
  assert.equal(unrated.first, "middle@1");
});
