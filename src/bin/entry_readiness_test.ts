/** Tests of the conditions for advertising a started VM to callers. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Vm } from "../model/mod.ts";
import {
  isReadyForTraffic,
  JOIN_TIMEOUT_MS,
  type StartProgress,
} from "./entry_readiness.ts";

function progressOf(fields: Partial<StartProgress>): StartProgress {
  return {
    wasCurrent: true,
    listedVms: [entryOf("vm-1"), entryOf("vm-2")],
    areEnginesPolled: true,
    presentCount: 2,
    sinceStartMs: 100,
    ...fields,
  };
}

function entryOf(vm: string): Vm {
  return {
    vm,
    kind: "entry",
    place: "khomas-a",
    address: "127.0.0.1:1",
    service: "",
    peerAddress: "",
    status: "live",
  };
}

test("a VM without the VM list is not ready, even with peers", () => {
  assert.equal(isReadyForTraffic(progressOf({ listedVms: undefined })), false);
  const late = { listedVms: undefined, sinceStartMs: JOIN_TIMEOUT_MS + 1 };
  assert.equal(isReadyForTraffic(progressOf(late)), false);
});

test("a VM that has not polled its engines is not ready", () => {
  assert.equal(
    isReadyForTraffic(progressOf({ areEnginesPolled: false })),
    false,
  );
});

test("a VM whose journal was never current is not ready", () => {
  assert.equal(isReadyForTraffic(progressOf({ wasCurrent: false })), false);
});

test("a VM waits for its peers until the join timeout", () => {
  const alone = { presentCount: 1 };
  assert.equal(isReadyForTraffic(progressOf(alone)), false);
  const late = { ...alone, sinceStartMs: JOIN_TIMEOUT_MS + 1 };
  assert.equal(isReadyForTraffic(progressOf(late)), true);
  const only = { ...alone, listedVms: [entryOf("vm-1")] };
  assert.equal(isReadyForTraffic(progressOf(only)), true);
  assert.equal(isReadyForTraffic(progressOf({})), true);
});
