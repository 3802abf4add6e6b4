/** Tests of the quarantine of prompt parts that crash servers. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { serverOf } from "../decision/manifest_fixture.ts";
import { silentLogger } from "../model/mod.ts";
import { MAX_SHARED_CRASHES } from "./crash_news.ts";
import { encodePeerUpdate, parsePeerUpdate } from "./peer_update.ts";
import { PromptQuarantine } from "./prompt_quarantine.ts";
import { type CrashPlay, playCrashes } from "./prompt_quarantine_fixture.ts";

/** The platform's rules: from here on after the fifth crash, ... */
const CONNECTED_MS = 4000;
const CRASH_COUNT = 5;
/** ... so many requests with the part may still reach a server. */
const ALLOWED_COUNT = 3;

const SEED_COUNT = 4;

const PLAY: CrashPlay = {
  seed: 1,
  vmCount: 8,
  serverCount: 8,
  soundPerSecond: 40,
  fatalPerSecond: 4,
  fatal: "part",
  subjectCount: 20,
  fatalFromMs: 3000,
  otherCrashesPerSecond: 0,
  durationMs: 25_000,
  placeCount: 3,
  exchangeMs: 400,
  readerExchangeMs: 700,
};

interface Outcome {
  readonly lateCount: number;
  /** Share of the sound requests refused from twice CONNECTED_MS on. */
  readonly refusedShare: number;
  readonly crashCount: number;
}

function outcomeOf(
  play: Partial<CrashPlay>,
  crashCount = CRASH_COUNT,
): Outcome {
  const { crashesMs, fatalArrivalsMs, sound } = playCrashes({
    ...PLAY,
    ...play,
  });
  const lastMs = crashesMs[crashCount - 1] ?? Infinity;
  const later = sound.filter(({ atMs }) => atMs > lastMs + 2 * CONNECTED_MS);
  return {
    lateCount: fatalArrivalsMs.filter((atMs) => atMs > lastMs + CONNECTED_MS)
      .length,
    refusedShare: later.filter(({ isRefused }) => isRefused).length /
      Math.max(1, later.length),
    crashCount: crashesMs.length,
  };
}

const PLAYS: readonly (readonly [title: string, play: Partial<CrashPlay>])[] = [
  ["a small fleet", {}],
  ["requests that come seldom", { fatalPerSecond: 1 }],
  ["many requests at once", { fatalPerSecond: 15 }],
  ["parts from the start on", { fatalFromMs: 0 }],
  ["few sound requests", { soundPerSecond: 5 }],
  ["subjects of few requests each", { subjectCount: 400 }],
  ["few servers", { serverCount: 3 }],
  ["a large fleet", {
    vmCount: 60,
    serverCount: 42,
    soundPerSecond: 200,
    fatalPerSecond: 10,
    subjectCount: 100,
    placeCount: 6,
    readerExchangeMs: 420,
  }],
];

for (const [title, play] of PLAYS) {
  test(`a fatal part is kept from the servers: ${title}`, () => {
    for (let seed = 1; seed <= SEED_COUNT; seed++) {
      const outcome = outcomeOf({ ...play, seed });
      const shown = JSON.stringify({ seed, ...outcome });
      assert.ok(outcome.lateCount <= ALLOWED_COUNT, shown);
      assert.ok(outcome.refusedShare <= 0.02, shown);
    }
  });
}

/** The platform's rule: this holds after the third crash under one request. */
const SAME_CRASH_COUNT = 3;

// Guards against BUDGET: one request crashes servers, at whatever VM it comes.
for (const [title, play] of PLAYS) {
  test(`a fatal request is kept from the servers: ${title}`, () => {
    for (let seed = 1; seed <= SEED_COUNT; seed++) {
      const fatalPlay: Partial<CrashPlay> = { ...play, fatal: "request", seed };
      const outcome = outcomeOf(fatalPlay, SAME_CRASH_COUNT);
      const shown = JSON.stringify({ seed, ...outcome });
      assert.ok(outcome.lateCount <= ALLOWED_COUNT, shown);
      assert.ok(outcome.refusedShare <= 0.02, shown);
    }
  });
}

test("servers that end whatever they are asked put hardly anything in quarantine", () => {
  const soundOnly = { fatalPerSecond: 0, otherCrashesPerSecond: 1 };
  for (let seed = 1; seed <= SEED_COUNT; seed++) {
    for (const subjectCount of [20, 400]) {
      const { sound } = playCrashes({
        ...PLAY,
        ...soundOnly,
        seed,
        subjectCount,
      });
      const refused = sound.filter(({ isRefused }) => isRefused);
      const share = refused.length / sound.length;
      assert.ok(share <= 0.02, JSON.stringify({ seed, subjectCount, share }));
    }
  }
});

interface TestVm {
  readonly quarantine: PromptQuarantine;
  readonly events: string[];
}

/** VMs with one clock, of which the first makes the trials. */
function vmsOf(count: number): {
  readonly clock: { nowMs: number };
  readonly vms: readonly TestVm[];
} {
  const clock = { nowMs: 100_000 };
  const vms = Array.from({ length: count }, (_, index) => {
    const events: string[] = [];
    const log = (event: string): void => void events.push(event);
    const quarantine = new PromptQuarantine({
      isTrialVm: () => index === 0,
      clock: () => clock.nowMs,
      logger: { ...silentLogger, info: log, warn: log },
    });
    return { quarantine, events };
  });
  return { clock, vms };
}

const FATAL_PARTS = ["system", "fatal"];
const SOUND_PARTS = ["system", "subject"];

/** Three servers end under three requests, and a sound one is answered. */
function crashThree(
  { quarantine }: TestVm,
  clock: { nowMs: number },
): void {
  quarantine.recordSurvival(SOUND_PARTS);
  for (const [index, requestId] of ["r-1", "r-2", "r-3"].entries()) {
    clock.nowMs += 200;
    const server = serverOf(`server-${index}`);
    quarantine.recordBreak({ requestId, server, partIds: FATAL_PARTS });
  }
}

test("a part under which three servers ended is blocked, a sound one is not", () => {
  const { clock, vms: [vm] } = vmsOf(1);
  assert.ok(vm !== undefined);
  crashThree(vm, clock);
  assert.ok((vm.quarantine.waitMs(FATAL_PARTS) ?? 0) > 0);
  assert.equal(vm.quarantine.waitMs(SOUND_PARTS), undefined);
  assert.deepEqual(vm.events, ["prompt quarantined"]);
});

test("a VM that starts later learns of the quarantine", () => {
  const { clock, vms: [first, second] } = vmsOf(2);
  assert.ok(first !== undefined && second !== undefined);
  crashThree(first, clock);
  clock.nowMs += 45_000;
  second.quarantine.merge(first.quarantine.toShare());
  assert.ok((second.quarantine.waitMs(FATAL_PARTS) ?? 0) > 0);
});

test("a VM that starts later judges as well when requests were repeated", () => {
  const { clock, vms: [first, second] } = vmsOf(2);
  assert.ok(first !== undefined && second !== undefined);
  first.quarantine.recordSurvival(SOUND_PARTS);
  for (let index = 0; index < 9; index++) {
    clock.nowMs += 200;
    first.quarantine.recordBreak({
      requestId: `r-${Math.floor(index / 3)}`,
      server: serverOf(`server-${index}`),
      partIds: FATAL_PARTS,
    });
  }
  clock.nowMs += 45_000;
  second.quarantine.recordSurvival(SOUND_PARTS);
  second.quarantine.merge(first.quarantine.toShare());
  assert.ok((second.quarantine.waitMs(FATAL_PARTS) ?? 0) > 0);
});

test("an answer that got far releases a part on every VM", () => {
  const { clock, vms: [first, second] } = vmsOf(2);
  assert.ok(first !== undefined && second !== undefined);
  crashThree(first, clock);
  second.quarantine.merge(first.quarantine.toShare());
  assert.ok((second.quarantine.waitMs(FATAL_PARTS) ?? 0) > 0);
  clock.nowMs += 1000;
  second.quarantine.recordSurvival(FATAL_PARTS);
  first.quarantine.merge(second.quarantine.toShare());
  clock.nowMs += 1000;
  for (const { quarantine, events } of [first, second]) {
    assert.equal(quarantine.waitMs(FATAL_PARTS), undefined);
    assert.ok(events.includes("prompt released"));
  }
});

test("a report is withdrawn when its server answers a later request", () => {
  const { clock, vms: [first, second] } = vmsOf(2);
  assert.ok(first !== undefined && second !== undefined);
  crashThree(first, clock);
  second.quarantine.merge(first.quarantine.toShare());
  clock.nowMs += 100;
  second.quarantine.recordServerAnswer(serverOf("server-1"), clock.nowMs);
  assert.equal(second.quarantine.waitMs(FATAL_PARTS), undefined);
  first.quarantine.merge(second.quarantine.toShare());
  assert.equal(first.quarantine.waitMs(FATAL_PARTS), undefined);
});

test("one VM tries a part again, after pauses that double", () => {
  const { clock, vms: [first, second] } = vmsOf(2);
  assert.ok(first !== undefined && second !== undefined);
  crashThree(first, clock);
  const startMs = clock.nowMs;
  const triedAfterMs: number[] = [];
  for (let count = 0; count < 2500; count++) {
    clock.nowMs += 100;
    second.quarantine.merge(first.quarantine.toShare());
    first.quarantine.merge(second.quarantine.toShare());
    assert.ok((second.quarantine.waitMs(FATAL_PARTS) ?? 0) > 0);
    if (first.quarantine.waitMs(FATAL_PARTS) !== undefined) continue;
    first.quarantine.countAttempt(FATAL_PARTS);
    triedAfterMs.push(Math.round((clock.nowMs - startMs) / 1000));
    const server = serverOf(`server-again-${count}`);
    const requestId = `trial-${count}`;
    first.quarantine.recordBreak({ requestId, server, partIds: FATAL_PARTS });
  }
  assert.deepEqual(triedAfterMs, [60, 180]);
});

test("servers that end at one moment speak against no part", () => {
  const { clock, vms: [vm] } = vmsOf(1);
  assert.ok(vm !== undefined);
  for (let index = 0; index < 8; index++) {
    clock.nowMs += 5;
    vm.quarantine.recordBreak({
      requestId: `r-${index}`,
      server: serverOf(`server-${index}`),
      partIds: FATAL_PARTS,
    });
  }
  assert.equal(vm.quarantine.waitMs(FATAL_PARTS), undefined);
});

test("an answer dropped as it began counts when its server ends", () => {
  const { clock, vms: [vm] } = vmsOf(1);
  assert.ok(vm !== undefined);
  vm.quarantine.recordSurvival(SOUND_PARTS);
  for (let index = 0; index < 3; index++) {
    const server = serverOf(`server-${index}`);
    const requestId = `r-${index}`;
    vm.quarantine.recordDrop({ requestId, server, partIds: FATAL_PARTS });
    clock.nowMs += 200;
    vm.quarantine.recordUnreachable(server);
  }
  assert.ok((vm.quarantine.waitMs(FATAL_PARTS) ?? 0) > 0);
});

test("reports stay bounded and keep what holds a quarantine", () => {
  const { clock, vms: [vm] } = vmsOf(1);
  assert.ok(vm !== undefined);
  crashThree(vm, clock);
  assert.ok((vm.quarantine.waitMs(FATAL_PARTS) ?? 0) > 0);
  for (let index = 0; index < 1000; index++) {
    clock.nowMs += 1;
    vm.quarantine.recordBreak({
      requestId: `victim-${index}`,
      server: serverOf("server-9"),
      partIds: [`part-${index}`, "x".repeat(10_000), ""],
    });
  }
  const { crashes } = vm.quarantine.toShare();
  assert.ok(crashes.length <= MAX_SHARED_CRASHES);
  const update = { have: { operators: null, servers: null } };
  const sent = encodePeerUpdate({
    ...update,
    teller: "vm-1",
    topics: {},
    rollouts: [],
    loads: [],
    limits: [],
    leaving: [],
    ...vm.quarantine.toShare(),
  });
  assert.ok(parsePeerUpdate(sent) !== undefined);
  assert.ok((vm.quarantine.waitMs(FATAL_PARTS) ?? 0) > 0);
});
