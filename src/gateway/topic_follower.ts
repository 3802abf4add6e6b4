/**
 * Keeps a mirror of one topic in step with the store: lists it once, reads what
 * follows, and lists it anew when records were deleted before they were read.
 * While other VMs pass on what they read in time, the store is not asked.
 * Without the store it keeps trying at a bounded pace and says when the store
 * is lost and regained.
 */
import {
  type Clock,
  type Logger,
  type Random,
  type Sleep,
} from "../model/mod.ts";
import { type TopicReplica } from "./topic_replica.ts";
import { type StoreFault, type TopicSource } from "./store_record.ts";

/** How a topic is followed. */
export interface TopicFollowerOptions {
  readonly name: string;
  readonly source: TopicSource;
  readonly replica: TopicReplica;
  /** How long one read waits for a record; 0 reads what is there. */
  readonly waitMs: number;
  /** Pause between two reads of a VM that reads for others. */
  readonly pauseMs: number;
  /** Whether this VM reads for others. */
  readonly isStoreReader: () => boolean;
  /** A VM that is not a reader reads when the mirror is older than this. */
  readonly staleMs: number;
  readonly clock: Clock;
  readonly sleep: Sleep;
  readonly random: Random;
  readonly logger: Logger;
}

/** Bounds of the pause after a failed call. */
const RETRY_PAUSE_MS = { first: 200, longest: 1000 } as const;
/** When calls have failed for so long the store counts as lost. */
const LOST_AFTER_MS = 1500;
const CHECK_PAUSE_MS = 100;

/** A running follower. */
export class TopicFollower {
  readonly #options: TopicFollowerOptions;
  #isListDue = false;
  #isLost = false;
  #failureCount = 0;
  #failingSinceMs = 0;

  constructor(options: TopicFollowerOptions) {
    this.#options = options;
  }

  /** Follows until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { sleep, pauseMs } = this.#options;
    while (!signal.aborted) {
      if (!this.#isReadDue()) {
        await sleep(CHECK_PAUSE_MS, signal);
        continue;
      }
      const isRead = await this.#read();
      await sleep(isRead ? pauseMs : this.#retryPauseMs(), signal);
    }
  }

  #isReadDue(): boolean {
    const { replica: mirror, isStoreReader: isReader, staleMs } = this.#options;
    return isReader() || mirror.ageMs > staleMs;
  }

  async #read(): Promise<boolean> {
    const { source, replica: mirror, waitMs, clock } = this.#options;
    const askedAtMs = clock();
    const offset = this.#isListDue ? undefined : mirror.nextOffset;
    const read = offset === undefined
      ? await source.list()
      : await source.readAfter(offset, waitMs);
    if (read.isErr()) {
      this.#noteFault(read.error);
      return false;
    }
    this.#noteAnswer();
    this.#isListDue = false;
    if (offset === undefined) mirror.applyList(read.value, askedAtMs);
    else mirror.applyRecords(read.value, waitMs > 0 ? clock() : askedAtMs);
    return true;
  }

  #noteAnswer(): void {
    const { name, logger } = this.#options;
    this.#failureCount = 0;
    if (!this.#isLost) return;
    this.#isLost = false;
    logger.info("store regained", { topic: name });
  }

  #noteFault(fault: StoreFault): void {
    const { name, logger, clock, replica: mirror } = this.#options;
    if (fault.kind === "deleted") {
      this.#isListDue = true;
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
      knownMsAgo: Math.round(mirror.ageMs),
    });
  }

  #retryPauseMs(): number {
    const { first, longest } = RETRY_PAUSE_MS;
    const boundMs = Math.min(longest, first * 2 ** this.#failureCount);
    return boundMs * (0.5 + this.#options.random() / 2);
  }
}
