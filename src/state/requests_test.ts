/** Tests of the bounded window of pins and claims. */
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

test("a key that left the window cannot be claimed again", () => {
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

test("a key whose request was not run stays claimable, even after eviction", () => {
  const notRun = [
    claimOf("c1", "k1"),
    outcomeOf("c1", "k1", { result: "not_run", body: "" }),
  ];
  const reclaimed = replay([...notRun, claimOf("c2", "k1")]);
  assert.equal(reclaimed.claimOf(WORKSPACE, "k1")?.claim.id, "c2");
  const later = ["k2", "k3", "k4"].map((key) => claimOf(key, key));
  const state = replay([...notRun, ...later]);
  assert.equal(state.isInWindow(WORKSPACE, "k1"), true);
});

test("the total size of recorded answers is bounded", () => {
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

test("the oldest pins are evicted", () => {
  const state = replay([pinOf("s1"), pinOf("s2"), pinOf("s1"), pinOf("s3")]);
  assert.equal(state.pinOf(`${WORKSPACE}/s1`), undefined);
  assert.equal(state.pinOf(`${WORKSPACE}/s3`), "tagger@3");
});

test("expired keys are retained for generations and survive encoding", () => {
  let expired = ExpiredKeys.create();
  const count = 2 * GENERATION_KEYS + 10;
  for (let index = 0; index < count; index += 1) {
    expired = expired.add(`key ${index}`);
  }
  const copy = ExpiredKeys.fromJson(expired.toJson());
  let falsePositiveCount = 0;
  for (let index = 0; index < count; index += 1) {
    assert.ok(expired.has(`key ${index}`));
    assert.ok(copy.has(`key ${index}`));
    if (expired.has(`fresh ${index}`)) falsePositiveCount += 1;
  }
  assert.ok(falsePositiveCount <= 2, `${falsePositiveCount} false positives`);
});
