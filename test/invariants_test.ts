/** Tests that each broken promise is reported, and no other. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { SettingsTree } from "../src/model/mod.ts";
import { encodeBatch } from "../src/state/mod.ts";
import {
  answerLength,
  answerText,
  type RecordedAppend,
  type RecordedAttempt,
} from "../standin/mod.ts";
import {
  type CallRecord,
  emptyEvidence,
  type Evidence,
  type PromiseName,
} from "./evidence.ts";
import { checkInvariants } from "./invariants.ts";

const VERSION = "drafter@1";
const WORKSPACE = "/khomas/heritage";
const KEY = { requestId: "r1", version: VERSION, maxTokens: 10 };

function callOf(fields: Partial<CallRecord> = {}): CallRecord {
  return {
    ...KEY,
    kind: "model",
    requestClass: "drafting",
    workspace: WORKSPACE,
    session: "s1",
    key: undefined,
    sentMs: 100,
    endedMs: 200,
    end: "whole",
    outcome: undefined,
    reason: "",
    text: answerText(KEY),
    firstTokenMs: 10,
    entry: "127.0.0.1:1",
    cause: "",
    ...fields,
  };
}

function attemptOf(fields: Partial<RecordedAttempt> = {}): RecordedAttempt {
  return {
    ...KEY,
    server: "e1",
    attempt: 1,
    fromIndex: 0,
    atMs: 120,
    isPrefixRight: true,
    frameCount: answerLength(KEY),
    outcome: "done",
    ...fields,
  };
}

function billOf(outputTokens: number): RecordedAppend {
  const payload = encodeBatch([{
    id: "b1",
    kind: "bill",
    isWhole: true,
    requestId: "r1",
    workspace: WORKSPACE,
    requestClass: "drafting",
    lines: [{
      version: VERSION,
      inputTokens: 5,
      outputTokens,
      priceMicroEur: 3,
    }],
    priceMicroEur: 3,
    vm: "vm-1",
  }]);
  return { stream: "bills-0", offset: 0, payload, isReplyLost: false };
}

function evidenceOf(fields: Partial<Evidence> = {}): Evidence {
  const tree = SettingsTree.fromJson({ "/": { allowed: [VERSION] } });
  return {
    ...emptyEvidence(tree._unsafeUnwrap()),
    calls: [callOf()],
    attempts: [attemptOf()],
    appends: [billOf(answerLength(KEY))],
    ...fields,
  };
}

function assertBroken(fields: Partial<Evidence>, name: PromiseName): void {
  const promises = checkInvariants(evidenceOf(fields))
    .map((one) => one.promise);
  assert.deepEqual(promises, [name]);
}

test("a run without broken promises has no violation", () => {
  assert.deepEqual(checkInvariants(evidenceOf()), []);
});

test("a cut or crossed answer reported as complete is a violation", () => {
  const cut = answerText(KEY).slice(0, -4);
  const other = answerText({ ...KEY, requestId: "r2" });
  assertBroken({ calls: [callOf({ text: cut })] }, "whole_answer");
  assertBroken({ calls: [callOf({ text: other })] }, "whole_answer");
});

test("a request without a complete answer or refusal is a violation", () => {
  const cut = callOf({ end: "cut", text: "" });
  assertBroken({ calls: [cut] }, "no_lost_answer");
  const evidence = evidenceOf({ calls: [cut, callOf({ sentMs: 300 })] });
  assert.deepEqual(checkInvariants(evidence), []);
});

test("an idempotency key that ran twice is a violation", () => {
  const run = {
    server: "desk-1",
    requestId: "r2",
    key: "k1",
    method: "POST",
    target: "/submissions",
    atMs: 130,
  };
  assertBroken({ runs: [run, { ...run, server: "desk-2" }] }, "at_most_once");
});

test("a missing, a short and an inflated bill are violations", () => {
  assertBroken({ appends: [] }, "one_bill");
  assertBroken({ appends: [billOf(1)] }, "one_bill");
  assertBroken({ appends: [billOf(1000)] }, "one_bill");
});

test("work of a version not allowed or withdrawn is a violation", () => {
  const other = attemptOf({ version: "other@1" });
  assertBroken({ attempts: [attemptOf(), other] }, "allowed_version");
  const withdrawal = { version: VERSION, inForceMs: 119 };
  assertBroken({ withdrawals: [withdrawal] }, "withdrawn_version");
  const later = { version: VERSION, inForceMs: 121 };
  assert.deepEqual(checkInvariants(evidenceOf({ withdrawals: [later] })), []);
});

test("a session that changed its version is a violation", () => {
  const other = callOf({
    requestId: "r0",
    version: "drafter@0",
    end: "refused",
    text: "",
  });
  assertBroken({ calls: [other, callOf()] }, "session_version");
});

test("not_run after an attempt is a violation unless the engine refused", () => {
  const refused = callOf({ end: "refused", outcome: "not_run", text: "" });
  assertBroken({ calls: [refused] }, "true_refusal");
  const attempts = [attemptOf({ outcome: "refused" })];
  const evidence = evidenceOf({ calls: [refused], attempts });
  assert.deepEqual(checkInvariants(evidence), []);
});

test("work on a leaving server and a decreasing revision are violations", () => {
  assertBroken(
    { leavingServers: [{ server: "e1", fromMs: 110 }] },
    "leaving_server",
  );
  const revisions = [3, 2].map((revision) => ({ process: "vm-1", revision }));
  assertBroken({ revisions }, "revision_order");
});
