/**
 * Follows one topic of newest records in the platform's store: lists it once,
 * then reads what follows by long polls, and lists it anew when records were
 * deleted before they were read. Without the store it keeps trying at a bounded
 * pace and says when the store is lost and regained.
 */
import { type Result } from "neverthrow";
import { type Clock, type Logger, type Random, type Sleep } from "../model/mod.ts";

/** One record: a key's newest value, or that the key was dropped. */
export interface StoreRecord {
  readonly key: string;
  readonly value: Buffer | undefined;
  readonly offset: number;
}

/** Records and the offset after the last one. */
export interface StoreRecords {
  readonly records: readonly StoreRecord[];
  readonly nextOffset: number;
}

/** Why a call to the store gave nothing. */
export interface StoreFault {
  /**
   * `deleted`: the records asked for are no longer there. `refused`: nothing
   * was done. `unknown`: it may have been done.
   */
  readonly kind: "deleted" | "refused" | "conflict" | "unknown";
  readonly message: string;
}

/** How a topic is read. */
export interface TopicSource {
  readonly list: () => Promise<Result<StoreRecords, StoreFault>>;
  readonly readAfter: (
    offset: number,
    waitMs: number,
  ) => Promise<Result<StoreRecords, StoreFault>>;
}

/** What a follower does with what it reads. */
export interface TopicFollowerOptions {
  readonly name: string;
  readonly source: TopicSource;
  /** How long one poll waits for a record; 0 reads what is there. */
  readonly waitMs: number;
  /** Pause between two polls. */
  readonly pauseMs: () => number;
  readonly onListed: (records: StoreRecords) => void;
  readonly onRecords: (records: StoreRecords) => void;
  /** The store answers again after `onLost`. */
  readonly onRegained: () => void;
  readonly clock: Clock;
  readonly sleep: Sleep;
  readonly random: Random;
  readonly logger: Logger;
}

/** Bounds of the pause after a failed call. */
const RETRY_PAUSE_MS = { first: 200, longest: 1000 } as const;
/** When calls have failed for so long the store counts as lost. */
const LOST_AFTER_MS = 1500;

/** A running follower. */
export class TopicFollower {
  readonly #options: TopicFollowerOptions;
  #offset: number | undefined;
  #knownAtMs = -Infinity;
  #isLost = false;
  #failureCount = 0;
  #failingSinceMs = 0;

  constructor(options: TopicFollowerOptions) {
    this.#options = options;
  }

  /** When the topic's end was last known, -Infinity before the first read. */
  get knownAtMs(): number {
    return this.#knownAtMs;
  }

  /** Whether the store has not answered for a while. */
  get isLost(): boolean {
    return this.#isLost;
  }

  /** Follows until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { sleep, pauseMs } = this.#options;
    this.#knownAtMs = -Infinity;
    while (!signal.aborted) {
      const isRead = await this.#step();
      await sleep(isRead ? pauseMs() : this.#retryPauseMs(), signal);
    }
  }

  async #step(): Promise<boolean> {
    const { source, waitMs, clock } = this.#options;
    const askedAtMs = clock();
    const isList = this.#offset === undefined;
    const read = this.#offset === undefined
      ? await source.list()
      : await source.readAfter(this.#offset, waitMs);
    if (read.isErr()) {
      this.#noteFault(read.error, askedAtMs);
      return false;
    }
    this.#noteAnswer(isList ? askedAtMs : clock());
    this.#offset = read.value.nextOffset;
    if (isList) this.#options.onListed(read.value);
    else if (read.value.records.length > 0) this.#options.onRecords(read.value);
    return true;
  }

  #noteAnswer(atMs: number): void {
    const { name, logger, onRegained } = this.#options;
    this.#knownAtMs = atMs;
    this.#failureCount = 0;
    if (!this.#isLost) return;
    this.#isLost = false;
    logger.info("store regained", { topic: name });
    onRegained();
  }

  #noteFault(fault: StoreFault, askedAtMs: number): void {
    const { name, logger, clock } = this.#options;
    if (fault.kind === "deleted") {
      this.#offset = undefined;
      logger.info("records deleted, listing anew", { topic: name });
      return;
    }
    if (this.#failureCount === 0) this.#failingSinceMs = clock();
    this.#failureCount += 1;
    const failingMs = clock() - this.#failingSinceMs;
    if (this.#isLost || failingMs < LOST_AFTER_MS) return;
    this.#isLost = true;
    logger.warn("store lost", {
      topic: name,
      reason: fault.message,
      askedMsAgo: Math.round(clock() - askedAtMs),
    });
  }

  #retryPauseMs(): number {
    const { first, longest } = RETRY_PAUSE_MS;
    const boundMs = Math.min(longest, first * 2 ** this.#failureCount);
    return boundMs * (0.5 + this.#options.random() / 2);
  }
}
