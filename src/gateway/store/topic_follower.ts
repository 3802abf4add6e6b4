/**
 * Keeps a replica of one topic up to date with the store. A VM that is not a
 * store reader calls the store only when the updates of other VMs are late. Failed
 * calls are retried with a bounded backoff, and the loss and return of the store
 * are logged.
 *
 * An open connection may fall silent for good, which only a call that times out
 * shows. So a call that follows a good one has a short time limit, and a VM that
 * is behind does not wait for records: waits, limits and pauses add up to less
 * than the time within which a record has to be known. After a failure a call
 * may take longer, in case the store is slow.
 */
import {
  type Clock,
  type Logger,
  type Random,
  type Sleep,
} from "../../model/mod.ts";
import { type ReadProgress, TopicReader } from "./topic_reader.ts";
import { type TopicReplica } from "./topic_replica.ts";
import {
  LONGEST_ANSWER_MS,
  type ReadLimits,
  type StoreFault,
  type TopicSource,
} from "./store_record.ts";

export interface TopicFollowerOptions {
  readonly name: string;
  readonly source: TopicSource;
  readonly replica: TopicReplica;
  /** How long a store reader's read waits for a record; 0 returns at once. */
  readonly waitMs: number;
  /** How long an answer may take beyond the wait, after a call that succeeded. */
  readonly answerMs: number;
  /** Pause between two reads. */
  readonly pauseMs: number;
  /** Whether this VM reads the store for others. */
  readonly isStoreReader: () => boolean;
  /** Age of the replica at which a VM that is not a store reader reads. */
  readonly staleMs: number;
  readonly clock: Clock;
  readonly sleep: Sleep;
  readonly random: Random;
  readonly logger: Logger;
}

/** Bounds of the pause after a failed call. */
const RETRY_PAUSE_MS = { first: 200, longest: 1000 } as const;
/** The store counts as lost when calls have failed for this long. */
const LOST_AFTER_MS = 1500;
const CHECK_PAUSE_MS = 100;
/** Bounds the calls where records are written all the time. */
const CHANGE_PAUSE_MS = 50;

/** Follows one topic of the store. */
export class TopicFollower {
  readonly #options: TopicFollowerOptions;
  readonly #reader: TopicReader;
  /** Of the last call; undefined if it failed. */
  #progress: ReadProgress | undefined;
  #isLost = false;
  #failureCount = 0;
  #failingSinceMs = 0;

  constructor(options: TopicFollowerOptions) {
    this.#options = options;
    this.#reader = new TopicReader(options);
  }

  /** Follows until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { sleep } = this.#options;
    while (!signal.aborted) {
      if (!this.#isReadDue()) {
        await sleep(CHECK_PAUSE_MS, signal);
        continue;
      }
      this.#progress = await this.#read();
      if (this.#progress === "behind") continue;
      await sleep(this.#pauseMs(), signal);
    }
  }

  #isReadDue(): boolean {
    const { replica, isStoreReader, staleMs } = this.#options;
    return isStoreReader() || replica.ageMs > staleMs;
  }

  /** Returns undefined if the call failed. */
  async #read(): Promise<ReadProgress | undefined> {
    const { clock } = this.#options;
    const requestedAtMs = clock();
    const read = await this.#reader.read(this.#limits());
    if (read.isErr()) {
      this.#recordFault(read.error, clock() - requestedAtMs);
      return undefined;
    }
    this.#recordSuccess();
    return read.value;
  }

  #limits(): ReadLimits {
    const { waitMs, answerMs, isStoreReader } = this.#options;
    if (this.#failureCount > 0) {
      return { waitMs: 0, answerMs: LONGEST_ANSWER_MS };
    }
    // What was written since is unknown, unless the replica is current.
    const isWaiting = isStoreReader() && this.#progress === "current";
    return { waitMs: isWaiting ? waitMs : 0, answerMs };
  }

  #pauseMs(): number {
    if (this.#progress === undefined) return this.#retryPauseMs();
    const { pauseMs } = this.#options;
    return this.#progress === "changed" ? CHANGE_PAUSE_MS : pauseMs;
  }

  #recordSuccess(): void {
    const { name, logger } = this.#options;
    this.#failureCount = 0;
    if (!this.#isLost) return;
    this.#isLost = false;
    logger.info("store regained", { topic: name });
  }

  #recordFault(fault: StoreFault, tookMs: number): void {
    const { name, logger, clock, replica } = this.#options;
    if (fault.kind === "deleted") {
      logger.info("records deleted, listing topic", { topic: name });
      return;
    }
    if (this.#failureCount === 0) {
      this.#failingSinceMs = clock();
      logger.info("store call failed", {
        topic: name,
        tookMs: Math.round(tookMs),
        reason: fault.message,
        knownMsAgo: Math.round(replica.ageMs),
      });
    }
    this.#failureCount += 1;
    const failingMs = clock() - this.#failingSinceMs;
    if (this.#isLost || failingMs < LOST_AFTER_MS) return;
    this.#isLost = true;
    logger.warn("store lost", {
      topic: name,
      reason: fault.message,
      knownMsAgo: Math.round(replica.ageMs),
    });
  }

  #retryPauseMs(): number {
    const { first, longest } = RETRY_PAUSE_MS;
    const boundMs = Math.min(longest, first * 2 ** this.#failureCount);
    return boundMs * (0.5 + this.#options.random() / 2);
  }
}
