/** Tests of when a VM writes its address and looks for others, in virtual time. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { err, ok, type Result } from "neverthrow";
import { silentLogger } from "../../model/mod.ts";
import { type StoreFault, type StoreRecord } from "../store/store_record.ts";
import { StoreRendezvous } from "./store_rendezvous.ts";

const OWN = "10.0.0.1:1";
const OTHER = "10.0.0.2:1";

interface Play {
  readonly rendezvous: StoreRendezvous;
  readonly writtenAtMs: readonly number[];
  readonly listedAtMs: readonly number[];
}

interface PlayOptions {
  readonly forMs: number;
  readonly isAlone: (nowMs: number) => boolean;
  readonly records?: readonly StoreRecord[];
  /** Until when the store refuses all calls. */
  readonly downUntilMs?: number;
}

async function play(
  { forMs, isAlone, records = [], downUntilMs = 0 }: PlayOptions,
): Promise<Play> {
  const stopping = new AbortController();
  const writtenAtMs: number[] = [];
  const listedAtMs: number[] = [];
  let nowMs = 0;
  const answer = <Value>(value: Value): Promise<Result<Value, StoreFault>> =>
    Promise.resolve(
      nowMs < downUntilMs
        ? err({ kind: "refused" as const, message: "down" })
        : ok(value),
    );
  const rendezvous = new StoreRendezvous({
    vm: "vm-1",
    topic: {
      source: {
        list: () => {
          listedAtMs.push(nowMs);
          return answer({ records, nextOffset: records.length });
        },
        readAfter: (offset) => {
          listedAtMs.push(nowMs);
          return answer({ records: [], nextOffset: offset });
        },
      },
      read: ({ value }) => value?.toString(),
      write: () => {
        writtenAtMs.push(nowMs);
        return answer(undefined);
      },
    },
    peerAddress: () => OWN,
    isAlone: () => isAlone(nowMs),
    clock: () => nowMs,
    sleep: (durationMs) => {
      nowMs += durationMs;
      if (nowMs >= forMs) stopping.abort();
      return Promise.resolve();
    },
    random: () => 0.5,
    logger: silentLogger,
  });
  await rendezvous.run(stopping.signal);
  return { rendezvous, writtenAtMs, listedAtMs };
}

test("an address is written once, and again only after a failure", async () => {
  const calm = await play({ forMs: 60_000, isAlone: () => false });
  assert.deepEqual(calm.writtenAtMs, [1500]);
  assert.deepEqual(calm.listedAtMs, []);
  const down = await play({
    forMs: 60_000,
    isAlone: () => false,
    downUntilMs: 10_000,
  });
  assert.deepEqual(down.writtenAtMs, [1500, 6750, 12_000]);
});

test("a VM looks for others soon, and less and less often while there are none", async () => {
  const { listedAtMs } = await play({ forMs: 120_000, isAlone: () => true });
  assert.equal(listedAtMs[0], 1500);
  assert.ok(listedAtMs.length < 9, `${listedAtMs.length}`);
  const lost = await play({
    forMs: 60_000,
    isAlone: (nowMs) => nowMs > 30_000,
  });
  const [first = 0] = lost.listedAtMs;
  assert.ok(first > 31_000 && first < 33_000, `${first}`);
});

test("the addresses of others are found, and nothing else", async () => {
  const texts = { "slot-1": OWN, "slot-2": OTHER, "other": "10.0.0.9:1" };
  const records = Object.entries(texts).map(([key, text], offset) => ({
    key,
    value: Buffer.from(text),
    offset,
  }));
  const { rendezvous } = await play({
    forMs: 5000,
    isAlone: () => true,
    records,
  });
  assert.deepEqual(rendezvous.addresses, [OTHER]);
});
