/** Tests of the phases of a VM's shutdown, in virtual time. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { silentLogger } from "../model/mod.ts";
import { GatewayShutdown } from "./gateway_shutdown.ts";
import { type GatewaySettings } from "./gateway_settings.ts";

const SETTINGS: GatewaySettings = {
  vm: "vm-1",
  place: "khomas-a",
  places: [{ place: "khomas-a", region: "khomas" }],
  callerAddress: "127.0.0.1:1",
  peerAddress: "127.0.0.1:2",
  seeds: [],
  memoryBytes: 1024,
  coreShare: 1,
  drainMs: 2500,
  convergeMs: 2500,
  graceMs: 8000,
  entryMaxAgeMs: 900,
  retryBound: { ratio: 0.9, slackCount: 56, windowMs: 10_000 },
  canaryShare: 0.15,
  canarySlackCount: 0,
  sessionMs: 5000,
};

interface ShutdownRun {
  /** How long new requests were accepted after the signal. */
  readonly acceptedMs: number;
  readonly durationMs: number;
  readonly announced: readonly string[];
}

/** Stops a VM whose requests are all answered after `busyMs`. */
async function stop(busyMs: number): Promise<ShutdownRun> {
  let nowMs = 0;
  let acceptedMs = 0;
  const announced: string[] = [];
  const shutdown = new GatewayShutdown({
    settings: SETTINGS,
    announce: (status) => announced.push(status),
    openCount: () => nowMs < busyMs ? 1 : 0,
    clock: () => nowMs,
    sleep: (ms) => {
      if (shutdown.isAccepting) acceptedMs = nowMs;
      nowMs += ms;
      return Promise.resolve();
    },
    logger: silentLogger,
  });
  assert.ok(shutdown.isServing && shutdown.isAccepting);
  await shutdown.run();
  assert.ok(!shutdown.isServing && !shutdown.isAccepting);
  return { acceptedMs, durationMs: nowMs, announced };
}

test("a stopping VM accepts requests until callers drop its address", async () => {
  const { acceptedMs, announced } = await stop(0);
  // Some callers keep an answer for three times its age.
  assert.ok(acceptedMs >= 3 * SETTINGS.entryMaxAgeMs, `${acceptedMs}`);
  assert.equal(announced[0], "leaving");
});

test("a VM ends once its requests are answered, and before it is killed", async () => {
  const short = await stop(4000);
  assert.ok(short.durationMs >= 4000 && short.durationMs < 4500);
  const endless = await stop(Infinity);
  assert.ok(endless.durationMs < SETTINGS.graceMs, `${endless.durationMs}`);
});
