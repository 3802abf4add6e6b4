/**
 * Reads one stream by long polls and delivers its pages in order. A failed read
 * halves the page size, so that a page which is too large for the connection or
 * for this process's limits is followed by a smaller one.
 */
import {
  type Clock,
  type Logger,
  type Metrics,
  type Random,
  type Sleep,
} from "../model/mod.ts";
import { type Backoff, logBackoff } from "./backoff.ts";
import { type LogClient, type LogPage } from "./log_client.ts";

export interface TailOptions {
  readonly stream: string;
  readonly client: LogClient;
  /** Returns the offset to read from. */
  readonly nextOffset: () => number;
  /** Processes a page whose read began at `startedAtMs`; false rejects it. */
  readonly deliver: (page: LogPage, startedAtMs: number) => Promise<boolean>;
  /** Long-poll time of a read. */
  readonly waitMs: number;
  readonly clock: Clock;
  readonly random: Random;
  readonly sleep: Sleep;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const MAX_PAGE_ENTRIES = 500;

/** Follows one stream. */
export class LogTail {
  readonly #options: TailOptions;
  readonly #backoff: Backoff;
  readonly #closing = new AbortController();
  #pageLimit = MAX_PAGE_ENTRIES;
  #isReachable = false;
  #loop: Promise<void> | undefined;

  constructor(options: TailOptions) {
    this.#options = options;
    this.#backoff = logBackoff(options.random);
  }

  /** Whether the last read of the log succeeded. */
  get isReachable(): boolean {
    return this.#isReachable;
  }

  /** Starts the long polls; a second call has no effect. */
  start(): void {
    this.#loop ??= this.#run();
  }

  /** Stops the long polls; resolves when the last one has ended. */
  async close(): Promise<void> {
    this.#closing.abort();
    await this.#loop;
  }

  /** Reads to the stream's end without long polls; false if a read fails. */
  async readToEnd(): Promise<boolean> {
    while (!this.#closing.signal.aborted) {
      const page = await this.#read(0);
      if (page === undefined) return false;
      if (this.#options.nextOffset() >= page.next) return true;
      if (page.entries.length === 0) return false;
    }
    return false;
  }

  async #run(): Promise<void> {
    const { signal } = this.#closing;
    let isAtEnd = false;
    while (!signal.aborted) {
      const page = await this.#read(isAtEnd ? this.#options.waitMs : 0);
      isAtEnd = page !== undefined && this.#options.nextOffset() >= page.next;
      if (page !== undefined) this.#backoff.reset();
      else await this.#options.sleep(this.#backoff.next(), signal);
    }
  }

  async #read(waitMs: number): Promise<LogPage | undefined> {
    const { client, stream, clock, logger, metrics } = this.#options;
    const startedAtMs = clock();
    const page = await client.read(stream, {
      from: this.#options.nextOffset(),
      limit: this.#pageLimit,
      waitMs,
      signal: this.#closing.signal,
    });
    if (this.#closing.signal.aborted) return undefined;
    this.#isReachable = page.isOk();
    if (page.isErr()) {
      this.#pageLimit = Math.max(1, Math.floor(this.#pageLimit / 2));
      metrics.count("log.read_failed", 1, { stream });
      logger.warn("read failed", { stream, reason: page.error.message });
      return undefined;
    }
    this.#pageLimit = Math.min(MAX_PAGE_ENTRIES, this.#pageLimit * 2);
    const isAccepted = await this.#options.deliver(page.value, startedAtMs);
    return isAccepted ? page.value : undefined;
  }
}
