/**
 * Engines under generations, in virtual time and without a network: a batch of
 * slots, prefill of one prompt at a time in chunks between the tokens of the
 * others, a cache of shared prompt parts, and changing speeds. What is known of
 * an engine is a moment old. Counts what callers get and what is prefilled.
 */
import { type Random } from "../model/mod.ts";
import { seededRandom } from "./membership_fixture.ts";
import { type SilentRequest } from "./silence.ts";

const STEP_MS = 5;
/** Prefill rate, and the time of a token while no prompt is prefilled. */
const ENGINE = { tokensPerMs: 56.6, tokenMs: 6, prefillShare: 0.7 } as const;
const LONG = { tokens: 11_992, sharedTokens: 5382, targetMs: 3000 } as const;
const SHORT = { tokens: 826, sharedTokens: 198, targetMs: 2000 } as const;
const OUTPUT_TOKENS = { min: 100, spread: 500 } as const;
const REPORT_PERIOD_MS = 700;
const LOST_FACTOR = 3;
/** Two data centres in each of three regions. */
const PLACE_COUNT = 6;
const DISTANCES_MS = { own: 0, region: 24, far: 240 } as const;

/** One generation at one engine. */
export interface EngineJob {
  /** Data centre of the VM that sends it. */
  readonly place: number;
  readonly tokens: number;
  readonly sharedTokens: number;
  readonly targetMs: number;
  readonly outputTokens: number;
  readonly subject: number;
  readonly arrivedAtMs: number;
  sentAtMs: number;
  expectedMs: number;
  judgeAtMs: number;
  prefillLeft: number;
  outputLeft: number;
  firstAtMs: number | undefined;
}

/** An engine, and what VMs were last told of it. */
export interface SimulatedEngine {
  readonly id: string;
  readonly index: number;
  readonly place: number;
  readonly batchSize: number;
  readonly running: EngineJob[];
  readonly queue: EngineJob[];
  readonly cached: Set<number>;
  slowness: number;
  isFrozen: boolean;
  lastEventAtMs: number;
  report: {
    readonly loadCount: number;
    readonly prefillTokens: number;
    readonly promisedTokens: number;
    readonly slowness: number;
    readonly signAtMs: number;
    readonly atMs: number;
  };
}

export interface EngineLoadOptions {
  readonly seed: number;
  readonly engineCount: number;
  readonly batchSize: number;
  readonly requestsPerS: number;
  readonly durationMs: number;
  readonly subjectCount: number;
  readonly choose: (choice: EngineChoice) => SimulatedEngine;
  readonly patienceMs: (
    request: SilentRequest,
    nextMs: () => number,
  ) => number;
  /** Changes engines at a time, for example their speed. */
  readonly disturb?: (
    engines: readonly SimulatedEngine[],
    nowMs: number,
  ) => void;
}

export interface EngineChoice {
  readonly engines: readonly SimulatedEngine[];
  readonly job: EngineJob;
  readonly nowMs: number;
  readonly random: Random;
}

/** What callers got, and what it cost. */
export interface EngineLoadResult {
  requestCount: number;
  lateCount: number;
  retryCount: number;
  /** Requests sent to another region. */
  farCount: number;
  cachedTokens: number;
  prefilledTokens: number;
  /** Longest time that a request stayed at an engine after it froze. */
  frozenStayMs: number;
  readonly firstTokenMs: number[];
}

/** Plays the load. */
export function playEngines(options: EngineLoadOptions): EngineLoadResult {
  const load = new EngineLoad(options);
  for (let nowMs = 0; nowMs < options.durationMs; nowMs += STEP_MS) {
    load.step(nowMs);
  }
  return load.result;
}

/** Time until the first token of a new request, by what VMs were told. */
export function reportedFirstMs(
  { report, batchSize }: SimulatedEngine,
  { tokens }: { readonly tokens: number },
): number {
  const holdMs = ENGINE.tokenMs *
    (OUTPUT_TOKENS.min + OUTPUT_TOKENS.spread / 2);
  const excess = Math.max(0, report.loadCount + 1 - batchSize);
  return excess * holdMs / batchSize +
    (report.prefillTokens + tokens) / ENGINE.tokensPerMs;
}

/** Network cost between two data centres. */
export function distanceMs(from: number, to: number): number {
  if (from === to) return DISTANCES_MS.own;
  const isSameRegion = Math.floor(from / 2) === Math.floor(to / 2);
  return isSameRegion ? DISTANCES_MS.region : DISTANCES_MS.far;
}

/** Chooses the least loaded of three random engines, as a baseline. */
export function chooseOfThree(
  { engines, job, random }: EngineChoice,
): SimulatedEngine {
  const sample = [0, 1, 2].map(() =>
    engines[Math.floor(random() * engines.length)] as SimulatedEngine
  );
  return sample.reduce((best, engine) =>
    reportedFirstMs(engine, job) < reportedFirstMs(best, job) ? engine : best
  );
}

class EngineLoad {
  readonly result: EngineLoadResult = {
    requestCount: 0,
    lateCount: 0,
    retryCount: 0,
    farCount: 0,
    cachedTokens: 0,
    prefilledTokens: 0,
    frozenStayMs: 0,
    firstTokenMs: [],
  };
  readonly #options: EngineLoadOptions;
  /** Arrivals have their own source, so that all policies get the same. */
  readonly #arrivalRandom: Random;
  readonly #random: Random;
  readonly #engines: readonly SimulatedEngine[];

  constructor(options: EngineLoadOptions) {
    this.#options = options;
    this.#arrivalRandom = seededRandom(options.seed);
    this.#random = seededRandom(options.seed + 1);
    this.#engines = Array.from(
      { length: options.engineCount },
      (_, index) => engineOf(index, options.batchSize),
    );
  }

  step(nowMs: number): void {
    this.#options.disturb?.(this.#engines, nowMs);
    const { requestsPerS } = this.#options;
    if (this.#arrivalRandom() < requestsPerS * STEP_MS / 1000) {
      this.result.requestCount += 1;
      this.#send(this.#newJob(nowMs), nowMs);
    }
    for (const engine of this.#engines) {
      if (!engine.isFrozen) this.#run(engine, nowMs);
      if ((nowMs + engine.index * STEP_MS) % REPORT_PERIOD_MS === 0) {
        report(engine, nowMs);
      }
      this.#judgeSilence(engine, nowMs);
    }
  }

  #newJob(nowMs: number): EngineJob {
    const kind = this.#arrivalRandom() < 0.4 ? LONG : SHORT;
    const outputTokens = OUTPUT_TOKENS.min +
      Math.floor(this.#arrivalRandom() * OUTPUT_TOKENS.spread);
    return {
      ...kind,
      place: outputTokens % PLACE_COUNT,
      outputTokens,
      subject: Math.floor(this.#arrivalRandom() * this.#options.subjectCount),
      arrivedAtMs: nowMs,
      sentAtMs: nowMs,
      expectedMs: 0,
      judgeAtMs: 0,
      prefillLeft: 0,
      outputLeft: outputTokens,
      firstAtMs: undefined,
    };
  }

  #send(job: EngineJob, nowMs: number): void {
    const choice = { engines: this.#engines, job, nowMs, random: this.#random };
    const engine = this.#options.choose(choice);
    if (distanceMs(job.place, engine.place) === DISTANCES_MS.far) {
      this.result.farCount += 1;
    }
    job.sentAtMs = nowMs;
    job.expectedMs = 1.5 * reportedFirstMs(engine, job);
    job.judgeAtMs = nowMs + boundMsOf(job);
    engine.queue.push(job);
  }

  #run(engine: SimulatedEngine, nowMs: number): void {
    while (engine.running.length < engine.batchSize) {
      const job = engine.queue.shift();
      if (job === undefined) break;
      const isCached = engine.cached.has(job.subject);
      const cachedTokens = isCached ? job.sharedTokens : 0;
      this.result.cachedTokens += cachedTokens;
      this.result.prefilledTokens += job.tokens - cachedTokens;
      job.prefillLeft = job.tokens - cachedTokens;
      engine.running.push(job);
    }
    const stepMs = STEP_MS / engine.slowness;
    const prompt = engine.running.find(({ prefillLeft }) => prefillLeft > 0);
    const share = prompt === undefined ? 0 : ENGINE.prefillShare;
    if (prompt !== undefined) {
      prompt.prefillLeft -= share * stepMs * ENGINE.tokensPerMs;
    }
    for (const job of [...engine.running]) {
      if (job.prefillLeft > 0) continue;
      engine.lastEventAtMs = nowMs;
      if (job.firstAtMs === undefined) this.#begin(engine, job, nowMs);
      job.outputLeft -= (1 - share) * stepMs / ENGINE.tokenMs;
      if (job.outputLeft <= 0) remove(engine.running, job);
    }
  }

  #begin(engine: SimulatedEngine, job: EngineJob, nowMs: number): void {
    job.firstAtMs = nowMs;
    engine.cached.add(job.subject);
    const firstMs = nowMs - job.arrivedAtMs;
    this.result.firstTokenMs.push(firstMs);
    if (firstMs > job.targetMs) this.result.lateCount += 1;
  }

  #judgeSilence(engine: SimulatedEngine, nowMs: number): void {
    for (const job of [...engine.running, ...engine.queue]) {
      if (job.firstAtMs !== undefined || nowMs < job.judgeAtMs) continue;
      const boundMs = boundMsOf(job);
      const { report } = engine;
      const others = { ...report, loadCount: report.loadCount - 1 };
      const waitMs = this.#options.patienceMs({
        silentMs: nowMs - job.sentAtMs,
        boundMs,
        lostMs: LOST_FACTOR * boundMs,
        expectedMs: job.expectedMs,
        signAgeMs: nowMs - report.signAtMs,
        remainingMs: reportedFirstMs({ ...engine, report: others }, job),
      }, () => this.#nextMs(job, nowMs));
      job.judgeAtMs = nowMs + waitMs;
      if (waitMs > 0) continue;
      if (engine.isFrozen) {
        this.result.frozenStayMs = Math.max(
          this.result.frozenStayMs,
          nowMs - Math.max(job.sentAtMs, engine.lastEventAtMs),
        );
      }
      remove(engine.running, job);
      remove(engine.queue, job);
      this.result.retryCount += 1;
      this.#send(job, nowMs);
    }
  }

  #nextMs(job: EngineJob, nowMs: number): number {
    const choice = { engines: this.#engines, job, nowMs, random: this.#random };
    const engine = this.#options.choose(choice);
    return reportedFirstMs(engine, job) + job.tokens / ENGINE.tokensPerMs;
  }
}

function engineOf(index: number, batchSize: number): SimulatedEngine {
  return {
    id: `engine-${index}`,
    index,
    place: index % PLACE_COUNT,
    batchSize,
    running: [],
    queue: [],
    cached: new Set(),
    slowness: 1,
    isFrozen: false,
    lastEventAtMs: 0,
    report: {
      loadCount: 0,
      prefillTokens: 0,
      promisedTokens: 0,
      slowness: 1,
      signAtMs: 0,
      atMs: 0,
    },
  };
}

function report(engine: SimulatedEngine, nowMs: number): void {
  const jobs = [...engine.running, ...engine.queue];
  const waiting = jobs.filter(({ firstAtMs }) => firstAtMs === undefined);
  const isFresh = engine.lastEventAtMs > nowMs - REPORT_PERIOD_MS;
  // A frozen engine answers nobody, so that what was last known stays.
  if (!isFresh) return;
  engine.report = {
    loadCount: jobs.length,
    prefillTokens: sumOf(waiting, (job) => job.tokens),
    promisedTokens: sumOf(jobs, (job) => job.tokens + job.outputTokens),
    slowness: engine.slowness,
    signAtMs: engine.lastEventAtMs,
    atMs: nowMs,
  };
}

function boundMsOf({ targetMs, tokens }: EngineJob): number {
  return 0.6 * targetMs + 0.06 * tokens;
}

function sumOf<Item>(
  items: readonly Item[],
  valueOf: (item: Item) => number,
): number {
  return items.reduce((sum, item) => sum + valueOf(item), 0);
}

function remove<Item>(items: Item[], item: Item): void {
  const index = items.indexOf(item);
  if (index >= 0) items.splice(index, 1);
}
