/** Tests of checkpoints: replay of a decoded state, parts and schedule. */
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { CheckpointCollector, splitCheckpoint } from "./checkpoint.ts";
import {
  checkpointIntervalMs,
  initialCheckpointAgeMs,
  isCheckpointDue,
} from "./checkpoint_schedule.ts";
import { ControlState } from "./control.ts";
import {
  type LogEntry,
  type LogRecord,
  MAX_PART_CHARS,
  type RecordOf,
} from "./record.ts";
import { RequestState } from "./requests.ts";
import { controlCodec, requestCodec, type StateCodec } from "./state_codec.ts";

const SEED = 20_261_203;
const VERSION = "tagger@3";

function partsOf(text: string, id = "c"): RecordOf<"checkpoint">[] {
  return splitCheckpoint({ covers: 2048, text }, id)._unsafeUnwrap();
}

function controlRecordOf(kind: number, index: number): LogRecord {
  const id = `r${index}`;
  if (kind === 0) {
    const change = { set: { maxConcurrent: index }, clear: [] };
    const head = { id, kind: "edit", author: "a", note: "" } as const;
    return { ...head, path: "/a", change, base: 1024 * index };
  }
  if (kind === 1) {
    const lease = { id, kind: "lease", name: `l${index % 2}` } as const;
    return { ...lease, holder: `h${index % 3}`, ttlMs: 5, after: 0 };
  }
  if (kind === 2) {
    const step = { id, kind: "rollout_step", rollout: "r" } as const;
    const verdict = "start" as const;
    return {
      ...step,
      version: VERSION,
      after: 0,
      verdict,
      stepIndex: 0,
      reason: "",
    };
  }
  const workspace = `/a/w${index % 2}` as const;
  if (kind === 4) {
    const spend = { id, kind: "spend", workspace } as const;
    return { ...spend, billCount: index, priceMicroEur: 10 * index };
  }
  const sums = { count: 1, scoreSum: 1, scoreSquareSum: 1 };
  const vm = `vm-${index % 3}`;
  const requestClass = "lookup" as const;
  if (kind === 5) {
    const window = { windowStartMs: 1000 * index, windowMs: 1000 };
    const burn = { id, kind: "burn", vm, workspace, requestClass } as const;
    const counts = { good: 1, refused: 0, late: 0, lost: 0, badVersion: 0 };
    return { ...burn, ...window, ...counts };
  }
  return {
    id,
    kind: "quality",
    vm,
    version: VERSION,
    requestClass,
    ...sums,
  };
}

function requestRecordOf(kind: number, index: number): LogRecord {
  const id = `r${index}`;
  const key = `k${index % 4}`;
  const workspace = "/khomas/heritage";
  if (kind === 0) {
    const session = `${workspace}/s${index % 5}` as const;
    return { id, kind: "pin", session, version: VERSION };
  }
  const base = { id, workspace, key } as const;
  if (kind === 1) {
    const claim = { ...base, kind: "claim", requestId: id } as const;
    return { ...claim, bodyHash: "h", vm: "vm" };
  }
  const result = kind === 2 ? "not_run" as const : "done" as const;
  const answer = { status: 200, contentType: "", bodyBase64: "aGk=" };
  const claimId = `r${index - 1}`;
  return { ...base, kind: "outcome", claimId, result, ...answer };
}

function logOf(
  kinds: readonly number[],
  recordOf: (kind: number, index: number) => LogRecord,
): LogEntry[] {
  return kinds.map((kind, offset) => ({
    offset,
    records: [recordOf(kind, offset)],
  }));
}

function jsonOf<State>(codec: StateCodec<State>, state: State): unknown {
  return JSON.parse(codec.encode(state));
}

const kindsArbitrary = fc.array(fc.nat(5), { minLength: 1, maxLength: 30 });

test("a control state decoded from a checkpoint replays like the original", () => {
  fc.assert(
    fc.property(kindsArbitrary, fc.nat(30), (kinds, cutOffset) => {
      const log = logOf(kinds, controlRecordOf);
      let expected = ControlState.empty;
      let restored = ControlState.empty;
      for (const entry of log) {
        expected = expected.apply(entry);
        restored = restored.apply(entry);
        if (entry.offset !== cutOffset) continue;
        restored = controlCodec.decode(controlCodec.encode(restored))
          ._unsafeUnwrap();
      }
      assert.deepEqual(
        jsonOf(controlCodec, restored),
        jsonOf(controlCodec, expected),
      );
    }),
    { seed: SEED, numRuns: 300 },
  );
});

test("a request state decoded from a checkpoint replays like the original", () => {
  fc.assert(
    fc.property(kindsArbitrary, fc.nat(30), (kinds, cutOffset) => {
      const log = logOf(kinds, requestRecordOf);
      let expected = RequestState.empty;
      let restored = RequestState.empty;
      for (const entry of log) {
        expected = expected.apply(entry);
        restored = restored.apply(entry);
        if (entry.offset !== cutOffset) continue;
        restored = requestCodec.decode(requestCodec.encode(restored))
          ._unsafeUnwrap();
      }
      assert.deepEqual(
        jsonOf(requestCodec, restored),
        jsonOf(requestCodec, expected),
      );
    }),
    { seed: SEED, numRuns: 300 },
  );
});

/** Returns a reproducible text that barely compresses. */
function randomText(length: number): string {
  let seed = 1;
  let text = "";
  while (text.length < length) {
    seed = Math.imul(seed, 1_664_525) + 1_013_904_223 | 0;
    text += (seed >>> 8).toString(36);
  }
  return text;
}

test("reordered, duplicate and interleaved parts assemble into one checkpoint", () => {
  const text = randomText(3 * MAX_PART_CHARS);
  const parts = partsOf(text);
  const [first, second, third] = parts as [
    RecordOf<"checkpoint">,
    RecordOf<"checkpoint">,
    RecordOf<"checkpoint">,
  ];
  const collector = new CheckpointCollector();
  const other = partsOf(text, "other")[0] as RecordOf<"checkpoint">;
  const incomplete = collector.collect({
    offset: 1,
    records: [third, other, first, first],
  });
  assert.equal(incomplete, undefined);
  const complete = collector.collect({ offset: 2, records: [second] });
  assert.deepEqual(complete, { covers: 2048, text });
  assert.equal(collector.collect({ offset: 3, records: [second] }), undefined);
});

test("a checkpoint is due before retention ends, at any jitter", () => {
  const retentionMs = 3_600_000;
  for (const jitterShare of [0, 0.5, 0.999]) {
    const status = { retentionMs, tailEntries: 1, jitterShare };
    const intervalMs = checkpointIntervalMs(retentionMs);
    assert.ok(intervalMs <= retentionMs / 2);
    assert.ok(isCheckpointDue({ ...status, ageMs: intervalMs }));
    const earlyMs = initialCheckpointAgeMs(retentionMs) - 1;
    assert.equal(isCheckpointDue({ ...status, ageMs: earlyMs }), false);
    assert.ok(isCheckpointDue({ ...status, ageMs: 0, tailEntries: 8000 }));
  }
});
