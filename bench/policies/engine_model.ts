/**
 * A model engine in virtual time with slots, a bounded priority queue, a prefix
 * cache by session, a token time that grows with the batch, and a load report
 * published one report period after it was created.
 */
import { type VersionName } from "../../src/model/mod.ts";
import { type ServerReport } from "../../src/client/mod.ts";
import { type VirtualTime } from "./virtual_time.ts";

export interface EngineModelOptions {
  readonly time: VirtualTime;
  readonly name: string;
  readonly versions: readonly VersionName[];
  readonly slotCount: number;
  readonly queueLimit: number;
  /** Multiplier of all generation times; 1 is normal speed. */
  readonly slowFactor: number;
}

/** One generation job with its durations at normal speed. */
export interface EngineJob {
  readonly priority: number;
  readonly prefixKey: string | undefined;
  readonly prefillMs: number;
  readonly tokenMs: number;
  readonly tokenCount: number;
  readonly signal: AbortSignal;
  readonly onStart: () => void;
  readonly onFirstToken: () => void;
  readonly onLastToken: () => void;
}

const CACHED_PREFILL_SHARE = 0.8;
const PREFIX_CACHE_SIZE = 200;
const REPORT_PERIOD_MS = 250;
const EMPTY_BATCH_FACTOR = 0.7;
const FULL_BATCH_FACTOR = 1.3;

export class EngineModel {
  readonly #options: EngineModelOptions;
  readonly #cache = new Map<string, true>();
  #queue: EngineJob[] = [];
  #runningCount = 0;
  #sequence = 0;
  #publishedReport: ServerReport;

  constructor(options: EngineModelOptions) {
    this.#options = options;
    this.#publishedReport = this.#createReport();
    this.#schedulePublication();
  }

  /** The last published report; it lags by up to two report periods. */
  get publishedReport(): ServerReport {
    return this.#publishedReport;
  }

  /** Starts or queues a job; returns false if the queue is full. */
  submit(job: EngineJob): boolean {
    const { slotCount, queueLimit } = this.#options;
    if (this.#runningCount < slotCount) {
      this.#run(job);
      return true;
    }
    if (this.#queue.length >= queueLimit) return false;
    const index = this.#queue.findIndex((queued) =>
      queued.priority > job.priority
    );
    if (index < 0) this.#queue.push(job);
    else this.#queue.splice(index, 0, job);
    job.signal.addEventListener("abort", () => {
      this.#queue = this.#queue.filter((queued) => queued !== job);
    }, { once: true });
    return true;
  }

  /** Returns a report of the current load. */
  currentReport(): ServerReport {
    return this.#createReport();
  }

  #run(job: EngineJob): void {
    const { time, slotCount, slowFactor } = this.#options;
    this.#runningCount += 1;
    const batchShare = this.#runningCount / slotCount;
    const factor = slowFactor * (EMPTY_BATCH_FACTOR +
      (FULL_BATCH_FACTOR - EMPTY_BATCH_FACTOR) * batchShare);
    const cachedShare = this.#touchCache(job.prefixKey)
      ? CACHED_PREFILL_SHARE
      : 0;
    const firstMs = job.prefillMs * (1 - cachedShare) * slowFactor +
      job.tokenMs * factor;
    const lastMs = firstMs + job.tokenMs * (job.tokenCount - 1) * factor;
    const startMs = time.clock();
    let isDone = false;
    const finish = (): void => {
      if (isDone) return;
      isDone = true;
      this.#runningCount -= 1;
      const next = this.#queue.shift();
      if (next !== undefined) this.#run(next);
    };
    job.signal.addEventListener("abort", finish, { once: true });
    job.onStart();
    time.at(startMs + firstMs, () => {
      if (!isDone) job.onFirstToken();
    });
    time.at(startMs + lastMs, () => {
      if (isDone) return;
      finish();
      job.onLastToken();
    });
  }

  /** Marks a prefix as most recently used; returns whether it was cached. */
  #touchCache(prefixKey: string | undefined): boolean {
    if (prefixKey === undefined) return false;
    const isCached = this.#cache.delete(prefixKey);
    this.#cache.set(prefixKey, true);
    if (this.#cache.size > PREFIX_CACHE_SIZE) {
      const oldest = this.#cache.keys().next();
      if (oldest.done !== true) this.#cache.delete(oldest.value);
    }
    return isCached;
  }

  #schedulePublication(): void {
    const { time } = this.#options;
    const report = this.#createReport();
    time.at(time.clock() + REPORT_PERIOD_MS, () => {
      this.#publishedReport = report;
      this.#schedulePublication();
    });
  }

  #createReport(): ServerReport {
    const { name, versions, slotCount } = this.#options;
    this.#sequence += 1;
    return {
      server: name,
      sequence: this.#sequence,
      versions: versions.map((version) => ({
        version,
        state: "loaded",
        adapters: [],
      })),
      runningCount: this.#runningCount,
      queuedCount: this.#queue.length,
      slotCount,
      memoryMb: 0,
      usedMemoryMb: 0,
      role: "both",
      isLeaving: false,
    };
  }
}
