/**
 * Tests of callers that end their side of the connection and read on. They count
 * as gone, and what they have got of an answer must not look complete.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../../decision/membership_fixture.ts";
import {
  assertCut,
  callAtOnce,
  countsByLook,
  EVENT_COUNT,
  PAUSE_MS,
  startVm,
  STREAM_FRAMINGS,
  streamOf,
} from "./framed_server_fixture.ts";
import { CALLER_READERS, CALLER_VERSIONS } from "./raw_caller_fixture.ts";

const CALLER_COUNT = 100;
const HALF_CLOSED_COUNT = 300;
const SEED = 51;
const MAX_DELAY_MS = 80;
/** Callers whose own end has a time come one after another. */
const CALL_PERIOD_MS = 5;

const CASES = CALLER_VERSIONS.flatMap((version) =>
  STREAM_FRAMINGS.flatMap((framing) =>
    CALLER_READERS.map((reader) => ({ version, framing, reader }))
  )
);

for (const { version, framing, reader } of CASES) {
  const title = `HTTP/${version}, ${framing}, ${reader}`;
  const caller = { version, reader };
  const stream = { framing, eventCount: EVENT_COUNT, pauseMs: PAUSE_MS };

  // Guards against ORDER: a caller that ended its side before it was shown that
  // its stream was cut got a plain end.
  test(`a stream cut as its caller ends its side looks cut: ${title}`, async (context) => {
    const random = seededRandom(SEED);
    const resetAfter = (): number => EVENT_COUNT / 2;
    const vm = await startVm(context, streamOf({ ...stream, resetAfter }));
    const call = { ...caller, address: vm.callerAddress };
    const answers = await callAtOnce(CALLER_COUNT, () => ({
      ...call,
      endAfterMs: random() * 2 * MAX_DELAY_MS,
      endFrom: "head",
    }));
    assertCut(answers, EVENT_COUNT);
  });

  // Guards against ORDER: a caller that had ended its side of the connection
  // got a part of a stream and then a plain end.
  test(`a stream to a half-closed caller is whole or looks cut: ${title}`, async (context) => {
    const random = seededRandom(SEED);
    const { callerAddress } = await startVm(context, streamOf(stream));
    const answers = await callAtOnce(HALF_CLOSED_COUNT, (index) => ({
      ...caller,
      address: callerAddress,
      startAfterMs: index * CALL_PERIOD_MS,
      endAfterMs: random() * MAX_DELAY_MS,
      endFrom: index % 2 === 0 ? "request" : "head",
    }));
    const counts = countsByLook(answers);
    const message = JSON.stringify(counts);
    assert.equal(counts["200 short"], undefined, message);
    assert.equal(counts["200 other"], undefined, message);
    assert.ok((counts["200 cut"] ?? 0) > 0, message);
  });
}
