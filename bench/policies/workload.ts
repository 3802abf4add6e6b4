/** The requests of a run, sampled as a Poisson process from a seed. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  type ModelRequest,
  type Random,
  type RequestClass,
  type SettingsPath,
} from "../../src/model/mod.ts";

const UINT32_RANGE = 2 ** 32;

/** Creates a seeded generator of uniform numbers in [0, 1). */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / UINT32_RANGE;
}

/** Share, sizes and deadline of the requests of one class. */
export interface ClassModel {
  readonly requestClass: RequestClass;
  /** Share of all requests. */
  readonly share: number;
  readonly outputTokens: number;
  readonly inputTokens: number;
  readonly deadlineMs: number;
  /** Share of requests that belong to a session. */
  readonly sessionShare: number;
}

/** The classes of the workload; their shares add up to 1. */
export const CLASS_MIX: readonly ClassModel[] = [
  {
    requestClass: "lookup",
    share: 0.5,
    outputTokens: 40,
    inputTokens: 200,
    deadlineMs: 10_000,
    sessionShare: 0.3,
  },
  {
    requestClass: "tagging",
    share: 0.2,
    outputTokens: 20,
    inputTokens: 300,
    deadlineMs: 30_000,
    sessionShare: 0,
  },
  {
    requestClass: "drafting",
    share: 0.2,
    outputTokens: 300,
    inputTokens: 1500,
    deadlineMs: 120_000,
    sessionShare: 0.6,
  },
  {
    requestClass: "review",
    share: 0.1,
    outputTokens: 800,
    inputTokens: 4000,
    deadlineMs: 600_000,
    sessionShare: 0,
  },
];

const WORKSPACE_COUNT = 10;
const LARGE_WORKSPACE_REQUEST_SHARE = 0.6;
const LARGE_WORKSPACE_COUNT = 2;
const SESSION_COUNT = 200;
const CHARACTERS_PER_TOKEN = 4;

/** One request, its entry VM and its arrival time. */
export interface Arrival {
  readonly atMs: number;
  readonly vmIndex: number;
  readonly request: ModelRequest;
}

export interface WorkloadOptions {
  readonly random: Random;
  readonly ratePerSecond: number;
  readonly durationMs: number;
  readonly vmCount: number;
}

/** Samples the arrivals of a run, in order of time. */
export function createWorkload(options: WorkloadOptions): Arrival[] {
  const { random, ratePerSecond, durationMs, vmCount } = options;
  const arrivals: Arrival[] = [];
  let atMs = 0;
  for (;;) {
    atMs += -Math.log(1 - random()) * 1000 / ratePerSecond;
    if (atMs >= durationMs) return arrivals;
    const vmIndex = Math.floor(random() * vmCount);
    const request = sampleRequest(random, arrivals.length);
    arrivals.push({ atMs, vmIndex, request });
  }
}

function sampleRequest(random: Random, index: number): ModelRequest {
  const model = sampleClass(random);
  const workspace = sampleWorkspace(random);
  const isInSession = random() < model.sessionShare;
  const session = `s-${Math.floor(random() * SESSION_COUNT)}`;
  return {
    kind: "model",
    requestId: `r-${index}`,
    workspace,
    session: isInSession ? session : undefined,
    idempotencyKey: undefined,
    deadlineMs: model.deadlineMs,
    requestClass: model.requestClass,
    messages: [{
      role: "user",
      content: contentOf(isInSession ? `[${workspace}/${session}]` : "", model),
    }],
    maxTokens: Math.max(1, Math.round(model.outputTokens * (0.5 + random()))),
    isStreaming: true,
  };
}

function contentOf(prefix: string, model: ClassModel): string {
  return prefix.padEnd(model.inputTokens * CHARACTERS_PER_TOKEN, "x");
}

function sampleClass(random: Random): ClassModel {
  let remaining = random();
  for (const model of CLASS_MIX) {
    remaining -= model.share;
    if (remaining < 0) return model;
  }
  return CLASS_MIX[0] as ClassModel;
}

function sampleWorkspace(random: Random): SettingsPath {
  const isLarge = random() < LARGE_WORKSPACE_REQUEST_SHARE;
  const index = isLarge
    ? Math.floor(random() * LARGE_WORKSPACE_COUNT)
    : LARGE_WORKSPACE_COUNT +
      Math.floor(random() * (WORKSPACE_COUNT - LARGE_WORKSPACE_COUNT));
  return `/leinster/w-${index}`;
}
