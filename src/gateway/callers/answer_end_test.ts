/**
 * Tests of how the ends of answers look to callers: one that ended early must
 * not look complete, whatever its server and its caller speak.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../../decision/membership_fixture.ts";
import {
  assertCut,
  beginAtOnce,
  callAtOnce,
  countsByLook,
  ENDLESS_COUNT,
  ENDLESS_PAUSE_MS,
  EVENT_COUNT,
  PAUSE_MS,
  startVm,
  STREAM_FRAMINGS,
  streamOf,
  WHOLE,
} from "./framed_server_fixture.ts";
import { CALLER_READERS, CALLER_VERSIONS } from "./raw_caller_fixture.ts";

const CALLER_COUNT = 100;
const SEED = 51;

const CASES = CALLER_VERSIONS.flatMap((version) =>
  STREAM_FRAMINGS.flatMap((framing) =>
    CALLER_READERS.map((reader) => ({ version, framing, reader }))
  )
);

for (const { version, framing, reader } of CASES) {
  const title = `HTTP/${version}, ${framing}, ${reader}`;
  const caller = { version, reader };
  const stream = { framing, eventCount: EVENT_COUNT, pauseMs: PAUSE_MS };

  // Guards against ORDER: a stream that its server reset ended plainly.
  test(`a stream that its server resets looks cut: ${title}`, async (context) => {
    const random = seededRandom(SEED);
    const resetAfter = (): number => 1 + Math.floor(random() * EVENT_COUNT);
    const vm = await startVm(context, streamOf({ ...stream, resetAfter }));
    const address = vm.callerAddress;
    const answers = await callAtOnce(CALLER_COUNT, () => ({
      ...caller,
      address,
    }));
    assert.deepEqual(countsByLook(answers), { "200 cut": CALLER_COUNT });
  });

  // Guards against ORDER: a stream that was open as the VM's process ended.
  test(`a stream cut by the end of the VM looks cut: ${title}`, async (context) => {
    const endless = streamOf({
      framing,
      eventCount: ENDLESS_COUNT,
      // Blocks that are not read yet as the VM ends show what hides a reset.
      pauseMs: reader === "blocks" ? PAUSE_MS : ENDLESS_PAUSE_MS,
    });
    const { callerAddress, gateway } = await startVm(context, endless);
    const call = { ...caller, address: callerAddress };
    const { answers } = await beginAtOnce(CALLER_COUNT, call);
    await gateway.stop();
    assertCut(await answers, ENDLESS_COUNT);
  });

  test(`a complete stream looks complete: ${title}`, async (context) => {
    const { callerAddress } = await startVm(context, streamOf(stream));
    // Some callers send blank lines or bytes that are no request afterwards.
    const trailers = ["", "\r\n", "\r\nbytes"];
    const answers = await callAtOnce(CALLER_COUNT, (index) => ({
      ...caller,
      address: callerAddress,
      trailer: trailers[index % trailers.length] ?? "",
    }));
    assert.deepEqual(countsByLook(answers), { "200 whole": CALLER_COUNT });
    for (const { body, ending } of answers) {
      assert.equal(body, WHOLE);
      assert.notEqual(ending, "reset");
    }
  });
}
