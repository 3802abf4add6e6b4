/**
 * A model engine in virtual time: slots, a bounded queue by priority, a prefix
 * cache by session, tokens that come slower as the batch grows, and a load
 * report that is published a while after it was true.
 */
import { type VersionName } from "../../src/model/mod.ts";
import { type ServerReport } from "../../src/client/mod.ts";
import { type VirtualTime } from "./virtual_time.ts";

/** What an engine is made of. */
export interface EngineModelOptions {
  readonly time: VirtualTime;
  readonly name: string;
  readonly versions: readonly VersionName[];
  readonly slotCount: number;
  readonly queueLimit: number;
  /** How many times slower than usual it is. */
  readonly slowFactor: number;
}

/** One answer to produce. */
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

/** One engine. */
export class EngineModel {
  readonly #options: EngineModelOptions;
  readonly #cache = new Map<string, true>();
  #waiting: EngineJob[] = [];
  #runningCount = 0;
  #sequence = 0;
  #published: ServerReport;

  constructor(options: EngineModelOptions) {
    this.#options = options;
    this.#published = this.#report();
    this.#publish();
  }

  /** The published report; it lags. */
  get publishedReport(): ServerReport {
    return this.#published;
  }

  /** Takes a job, or says that the queue is full. */
  submit(job: EngineJob): boolean {
    const { slotCount, queueLimit } = this.#options;
    if (this.#runningCount < slotCount) {
      this.#run(job);
      return true;
    }
    if (this.#waiting.length >= queueLimit) return false;
    const index = this.#waiting.findIndex((one) => one.priority > job.priority);
    if (index < 0) this.#waiting.push(job);
    else this.#waiting.splice(index, 0, job);
    job.signal.addEventListener("abort", () => {
      this.#waiting = this.#waiting.filter((one) => one !== job);
    }, { once: true });
    return true;
  }

  /** The report as it is now. */
  currentReport(): ServerReport {
    return this.#report();
  }

  #run(job: EngineJob): void {
    const { time, slotCount, slowFactor } = this.#options;
    this.#runningCount += 1;
    const batchShare = this.#runningCount / slotCount;
    const factor = slowFactor * (EMPTY_BATCH_FACTOR +
      (FULL_BATCH_FACTOR - EMPTY_BATCH_FACTOR) * batchShare);
    const cachedShare = this.#touch(job.prefixKey) ? CACHED_PREFILL_SHARE : 0;
    const firstMs = job.prefillMs * (1 - cachedShare) * slowFactor +
      job.tokenMs * factor;
    const lastMs = firstMs + job.tokenMs * (job.tokenCount - 1) * factor;
    const startMs = time.clock();
    let isDone = false;
    const finish = (): void => {
      if (isDone) return;
      isDone = true;
      this.#runningCount -= 1;
      const next = this.#waiting.shift();
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

  #touch(prefixKey: string | undefined): boolean {
    if (prefixKey === undefined) return false;
    const isCached = this.#cache.delete(prefixKey);
    this.#cache.set(prefixKey, true);
    if (this.#cache.size > PREFIX_CACHE_SIZE) {
      const oldest = this.#cache.keys().next();
      if (oldest.done !== true) this.#cache.delete(oldest.value);
    }
    return isCached;
  }

  #publish(): void {
    const { time } = this.#options;
    const report = this.#report();
    time.at(time.clock() + REPORT_PERIOD_MS, () => {
      this.#published = report;
      this.#publish();
    });
  }

  #report(): ServerReport {
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
      queuedCount: this.#waiting.length,
      slotCount,
      memoryMb: 0,
      usedMemoryMb: 0,
      role: "both",
      isLeaving: false,
    };
  }
}
