/** The window of pins and claims: bounded, and alike on every replica. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ExpiredKeys, GENERATION_KEYS } from "./expired_keys.ts";
import { type LogRecord } from "./record.ts";
import { type RequestFields, RequestState } from "./requests.ts";

const WORKSPACE = "/khomas/heritage";
const WINDOW = { maxPins: 2, maxClaims: 3, maxAnswerChars: 100 };

function claimOf(id: string, key: string): LogRecord {
  const head = { id, kind: "claim", workspace: WORKSPACE, key } as const;
  return { ...head, requestId: id, bodyHash: "h", vm: "vm" };
}

function outcomeOf(
  claimId: string,
  key: string,
  options: { readonly result: "done" | "not_run"; readonly body: string },
): LogRecord {
  const head = { id: `o-${claimId}`, kind: "outcome", key } as const;
  const { result, body } = options;
  const answer = { status: 200, contentType: "", bodyBase64: body };
  return { ...head, workspace: WORKSPACE, claimId, result, ...answer };
}

function pinOf(session: string): LogRecord {
  const path = `${WORKSPACE}/${session}` as const;
  return { id: session, kind: "pin", session: path, version: "tagger@3" };
}

function replay(records: readonly LogRecord[]): RequestState {
  let state = RequestState.create(WINDOW);
  for (const [offset, record] of records.entries()) {
    state = state.apply({ offset, records: [record] });
  }
  return state;
}

function claimIds({ claims }: RequestFields): string[] {
  return [...claims.values()].map(({ claim }) => claim.id).sort();
}

test("a key that left the window is refused and cannot be claimed", () => {
  const keys = ["k1", "k2", "k3", "k4"];
  const state = replay([
    ...keys.map((key) => claimOf(`c-${key}`, key)),
    claimOf("again", "k1"),
  ]);
  assert.equal(state.isInWindow(WORKSPACE, "k1"), false);
  assert.equal(state.claimOf(WORKSPACE, "k1"), undefined);
  assert.equal(state.isInWindow(WORKSPACE, "k2"), true);
  assert.equal(state.isInWindow(WORKSPACE, "fresh"), true);
});

test("a key that was not run is free again, in the window and after it", () => {
  const freed = [
    claimOf("c1", "k1"),
    outcomeOf("c1", "k1", { result: "not_run", body: "" }),
  ];
  const taken = replay([...freed, claimOf("c2", "k1")]);
  assert.equal(taken.claimOf(WORKSPACE, "k1")?.claim.id, "c2");
  const later = ["k2", "k3", "k4"].map((key) => claimOf(key, key));
  const state = replay([...freed, ...later]);
  assert.equal(state.isInWindow(WORKSPACE, "k1"), true);
});

test("recorded answers are bounded by their size", () => {
  const body = "x".repeat(60);
  const state = replay([
    claimOf("c1", "k1"),
    outcomeOf("c1", "k1", { result: "done", body }),
    claimOf("c2", "k2"),
    outcomeOf("c2", "k2", { result: "done", body }),
  ]);
  assert.deepEqual(claimIds(state.fields), ["c2"]);
  assert.equal(state.fields.answerChars, 60);
  assert.equal(state.isInWindow(WORKSPACE, "k1"), false);
});

test("the oldest pins leave", () => {
  const state = replay([pinOf("s1"), pinOf("s2"), pinOf("s1"), pinOf("s3")]);
  assert.equal(state.pinOf(`${WORKSPACE}/s1`), undefined);
  assert.equal(state.pinOf(`${WORKSPACE}/s3`), "tagger@3");
});

test("expired keys are known for generations and read back alike", () => {
  let expired = ExpiredKeys.create();
  const count = 2 * GENERATION_KEYS + 10;
  for (let index = 0; index < count; index += 1) {
    expired = expired.add(`key ${index}`);
  }
  const copy = ExpiredKeys.fromJson(expired.toJson());
  let falseCount = 0;
  for (let index = 0; index < count; index += 1) {
    assert.ok(expired.has(`key ${index}`));
    assert.ok(copy.has(`key ${index}`));
    if (expired.has(`fresh ${index}`)) falseCount += 1;
  }
  assert.ok(falseCount <= 2, `${falseCount} fresh keys taken for old ones`);
});
