/**
 * Random and malformed input for the decoders of data received from sockets:
 * each returns a valid value or a described error, never throws an unexpected
 * exception, and buffers no more than its bound.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { settingsPathSchema, SettingsTree } from "../../src/model/mod.ts";
import {
  EventReader,
  EventStreamError,
  MAX_EVENT_LENGTH,
} from "../../src/client/event_stream.ts";
import { parseLoadReport } from "../../src/client/load_report.ts";
import { parseRunSummary } from "../../src/report/run_summary.ts";
import {
  ControlState,
  decodeEntry,
  encodeBatch,
  type LogRecord,
} from "../../src/state/mod.ts";

const SEED = 20_261_203;
const RUNS = { seed: SEED, numRuns: 500 };
const SAMPLE: LogRecord = {
  id: "e1",
  kind: "edit",
  path: "/khomas",
  change: { set: { maxConcurrent: 3 }, clear: [] },
  base: 0,
  author: "op",
  note: "",
};

test("replay accepts any payload", () => {
  const payloads = fc.oneof(
    fc.string(),
    fc.json(),
    fc.array(fc.jsonValue()).map((records) =>
      JSON.stringify({ format: 1, records })
    ),
  );
  fc.assert(
    fc.property(payloads, (payload) => {
      const entry = decodeEntry(0, payload);
      const state = ControlState.empty.apply(entry);
      assert.equal(state.history.size, 0);
    }),
    RUNS,
  );
});

test("a truncated batch is skipped entirely", () => {
  const whole = encodeBatch([SAMPLE]);
  fc.assert(
    fc.property(fc.nat(whole.length - 1), (length) => {
      const { records } = decodeEntry(0, whole.slice(0, length));
      assert.deepEqual(records.map((record) => record.kind), ["skipped"]);
    }),
    RUNS,
  );
});

test("a record with one changed field never breaks replay", () => {
  const names = Object.keys(SAMPLE);
  fc.assert(
    fc.property(fc.constantFrom(...names), fc.jsonValue(), (name, value) => {
      const batch = { format: 1, records: [{ ...SAMPLE, [name]: value }] };
      const entry = decodeEntry(0, JSON.stringify(batch));
      assert.equal(entry.records.length, 1);
      ControlState.empty.apply(entry);
    }),
    RUNS,
  );
});

test("events do not depend on how their bytes are split", () => {
  const lines = fc.array(fc.string({ maxLength: 20 }), { maxLength: 8 });
  fc.assert(
    fc.property(lines, fc.array(fc.nat(5)), (datas, cuts) => {
      const clean = datas.map((data) => data.replace(/[\r\n]/g, " "));
      const bytes = new TextEncoder().encode(
        clean.map((data) => `data: ${data}\n\n`).join(""),
      );
      const whole = new EventReader().push(bytes);
      const reader = new EventReader();
      const parts: string[] = [];
      let from = 0;
      for (const cut of cuts) {
        parts.push(...reader.push(bytes.subarray(from, from + cut)));
        from = Math.min(bytes.length, from + cut);
      }
      parts.push(...reader.push(bytes.subarray(from)));
      assert.deepEqual(parts, whole);
      assert.equal(whole.length, clean.length);
    }),
    RUNS,
  );
});

test("an event reader accepts random bytes", () => {
  fc.assert(
    fc.property(fc.array(fc.uint8Array()), (chunks) => {
      const reader = new EventReader();
      for (const chunk of chunks) reader.push(chunk);
    }),
    RUNS,
  );
});

test("an endless event is rejected at the length bound", () => {
  const line = new TextEncoder().encode(`data: ${"x".repeat(4096)}`);
  const newline = new TextEncoder().encode("\n");
  for (const ending of [new Uint8Array(), newline]) {
    const reader = new EventReader();
    assert.throws(() => {
      for (let sent = 0; sent < 4 * MAX_EVENT_LENGTH; sent += line.length) {
        reader.push(line);
        reader.push(ending);
      }
    }, EventStreamError);
  }
});

test("an invalid load report is dropped", () => {
  const texts = fc.oneof(fc.string(), fc.json());
  fc.assert(
    fc.property(texts, (text) => {
      const report = parseLoadReport(text);
      if (report !== undefined) assert.equal(typeof report.server, "string");
    }),
    RUNS,
  );
  assert.equal(parseLoadReport(`"${"x".repeat(1_000_000)}"`), undefined);
});

test("errors of a settings tree and a run summary have a message", () => {
  fc.assert(
    fc.property(fc.jsonValue(), (value) => {
      SettingsTree.fromJson(value).mapErr((error) =>
        assert.notEqual(error.message, "")
      );
      parseRunSummary(JSON.stringify(value)).mapErr((error) =>
        assert.notEqual(error.message, "")
      );
    }),
    RUNS,
  );
});

test("a settings path has at most three steps of plain letters", () => {
  fc.assert(
    fc.property(fc.string(), (text) => {
      if (!settingsPathSchema.safeParse(text).success) return;
      assert.match(text, /^\/$|^(\/[\w.-]+){1,3}$/);
    }),
    RUNS,
  );
});
