/**
 * Test of the store's records at one VM, in virtual time, when its open
 * connection to the store falls silent for good and new ones work.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { err, ok, type Result } from "neverthrow";
import { manifestOf } from "../../src/decision/manifest_fixture.ts";
import { seededRandom } from "../../src/decision/membership_fixture.ts";
import { GatewayState } from "../../src/gateway/gateway_state.ts";
import {
  type GatewayOptions,
  type ReadLimits,
  type StoreFault,
  type StoreRecords,
  type TopicSource,
} from "../../src/gateway/mod.ts";
import { RolloutRegistry } from "../../src/gateway/rollout/rollout_registry.ts";
import { BackendFleet } from "../../src/gateway/servers/backend_fleet.ts";
import { Evacuations } from "../../src/gateway/servers/evacuations.ts";
import { settingsOf } from "../../src/gateway/settings_fixture.ts";
import { StoreFeed } from "../../src/gateway/store/store_feed.ts";
import { GatewayMetrics } from "../../src/gateway/telemetry/gateway_metrics.ts";
import { silentLogger } from "../../src/model/mod.ts";
import { VirtualTime } from "./virtual_time.ts";

const ANSWER_MS = 4;
const POLL_MS = 5;
/** The phases of reads and pauses in which the connection falls silent. */
const PHASE_STEP_MS = 130;
const PHASE_COUNT = 30;
const WARM_MS = 8000;

/** Topic whose one connection hangs from a moment on until a call times out. */
class SilentTopic implements TopicSource {
  readonly #time: VirtualTime;
  #manifestVersion = 1;
  #isSilent = false;

  constructor(time: VirtualTime) {
    this.#time = time;
  }

  fallSilent(): void {
    this.#isSilent = true;
  }

  putManifest(): void {
    this.#manifestVersion += 1;
  }

  list(answerMs: number): Promise<Result<StoreRecords, StoreFault>> {
    return this.#call({ waitMs: 0, answerMs }, 0);
  }

  readAfter(
    offset: number,
    limits: ReadLimits,
  ): Promise<Result<StoreRecords, StoreFault>> {
    return this.#call(limits, offset);
  }

  async #call(
    { waitMs, answerMs }: ReadLimits,
    offset: number,
  ): Promise<Result<StoreRecords, StoreFault>> {
    const { clock, sleep } = this.#time;
    const startedAtMs = clock();
    const isWaiting = (): boolean =>
      this.#manifestVersion <= offset && clock() - startedAtMs < waitMs;
    while (!this.#isSilent && isWaiting()) await sleep(POLL_MS);
    if (!this.#isSilent) await sleep(ANSWER_MS);
    if (this.#isSilent) {
      await sleep(startedAtMs + waitMs + answerMs - clock());
      this.#isSilent = false;
      return err({ kind: "unknown", message: "timed out" });
    }
    const version = this.#manifestVersion;
    const value = Buffer.from(JSON.stringify(manifestOf({ version })));
    const record = { key: "manifest", value, offset: version - 1 };
    const records = version > offset ? [record] : [];
    return ok({ records, nextOffset: version });
  }
}

interface Play {
  readonly boundMs: number;
  readonly isStoreReader: boolean;
  readonly silentAtMs: number;
}

/**
 * Returns after what time a manifest is in force that is written as the
 * connection falls silent.
 */
async function timeToKnowMs(
  { boundMs, isStoreReader, silentAtMs }: Play,
): Promise<number> {
  const time = new VirtualTime();
  const topic = new SilentTopic(time);
  const { clock, sleep } = time;
  const base = { clock, logger: silentLogger };
  const fleet = new BackendFleet(base);
  const state = new GatewayState({ ...base, fleet });
  const settings = settingsOf({ convergeMs: boundMs, drainMs: boundMs });
  const gateway: Partial<GatewayOptions> = {
    ...base,
    sleep,
    random: seededRandom(1),
    settings,
    operatorTopic: topic,
    serverTopic: new SilentTopic(time),
    isOlderServer: () => false,
    readServer: () => undefined,
    readOperatorRecord: ({ value }) =>
      value === undefined
        ? undefined
        : { kind: "manifest", manifest: JSON.parse(value.toString()) },
  };
  const feed = new StoreFeed({
    gateway: gateway as GatewayOptions,
    state,
    registry: new RolloutRegistry({
      ...base,
      ...settings,
      fleet,
      vmCount: () => 1,
    }),
    evacuations: new Evacuations({ ...base, places: [] }),
    metrics: new GatewayMetrics(),
    isStoreReader: () => isStoreReader,
    onApplied: () => {},
  });
  const ending = new AbortController();
  feed.run(ending.signal);
  await time.pass(silentAtMs);
  topic.fallSilent();
  topic.putManifest();
  const writtenAtMs = clock();
  while (
    state.routes?.manifest.version !== 2 && clock() < writtenAtMs + 20_000
  ) {
    await time.pass(POLL_MS);
  }
  ending.abort();
  return clock() - writtenAtMs;
}

// Guards against CONFIG: calls that hang take longer than a manifest may.
for (const boundMs of [2500, 4000, 8000]) {
  for (const isStoreReader of [true, false]) {
    const kind = isStoreReader ? "a store reader" : "another VM by itself";
    test(`${kind} knows a manifest within ${boundMs} ms though its connection to the store has fallen silent`, async () => {
      for (let phase = 0; phase < PHASE_COUNT; phase++) {
        const silentAtMs = WARM_MS + phase * PHASE_STEP_MS;
        const tookMs = await timeToKnowMs({
          boundMs,
          isStoreReader,
          silentAtMs,
        });
        assert.ok(tookMs <= boundMs, `phase ${phase}: ${tookMs} ms`);
      }
    });
  }
}
