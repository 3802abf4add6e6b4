/**
 * The prompt cache of an engine: conversation prefixes in a bounded LRU set.
 * Its events are published with a lag and can have gaps in their sequence.
 */
import { createHash } from "node:crypto";
import { performance } from "node:perf_hooks";

const MAX_EVENTS = 10_000;

/** The message fields that identify a cached prefix. */
export interface CachedMessage {
  readonly role: string;
  readonly content: string;
}

/** An event that reports a prefix as stored or evicted. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly prefixHash: string;
}

interface TimedEvent extends CacheEvent {
  readonly fromMs: number;
}

/** Options of the prompt cache. */
export interface EngineCacheOptions {
  /** Maximum number of cached prefixes. */
  readonly entryCount: number;
  readonly eventLagMs: number;
  /** Every n-th event is dropped; 0 drops none. */
  readonly gapEvery: number;
}

/** Returns a hash of a version and the first messages of a conversation. */
export function prefixHashOf(
  version: string,
  messages: readonly CachedMessage[],
): string {
  const parts = messages.map((message) => [message.role, message.content]);
  const text = JSON.stringify([version, parts]);
  return createHash("sha256").update(text).digest("hex").slice(0, 16);
}

/** The prompt cache of one engine. */
export class EngineCache {
  readonly #options: EngineCacheOptions;
  readonly #entries = new Set<string>();
  #events: TimedEvent[] = [];
  #sequence = 0;

  constructor(options: EngineCacheOptions) {
    this.#options = options;
  }

  /**
   * Stores every prefix of a conversation and returns the length of the longest
   * one already cached, in messages.
   */
  store(version: string, messages: readonly CachedMessage[]): number {
    let cachedCount = 0;
    for (let count = 1; count <= messages.length; count += 1) {
      const hash = prefixHashOf(version, messages.slice(0, count));
      if (this.#entries.delete(hash)) cachedCount = count;
      else this.#publish("stored", hash);
      this.#entries.add(hash);
    }
    this.#evict();
    return cachedCount;
  }

  /** Returns the events after a sequence number that are older than the lag. */
  eventsAfter(sequence: number): { events: CacheEvent[]; next: number } {
    const publishedUntilMs = performance.now() - this.#options.eventLagMs;
    const events = this.#events
      .filter((one) =>
        one.sequence > sequence && one.fromMs <= publishedUntilMs
      )
      .map(({ sequence, kind, prefixHash }) => ({
        sequence,
        kind,
        prefixHash,
      }));
    return { events, next: events.at(-1)?.sequence ?? sequence };
  }

  #evict(): void {
    for (const hash of this.#entries) {
      if (this.#entries.size <= this.#options.entryCount) return;
      this.#entries.delete(hash);
      this.#publish("evicted", hash);
    }
  }

  #publish(kind: CacheEvent["kind"], prefixHash: string): void {
    this.#sequence += 1;
    const sequence = this.#sequence;
    const { gapEvery } = this.#options;
    if (gapEvery > 0 && sequence % gapEvery === 0) return;
    this.#events.push({
      sequence,
      kind,
      prefixHash,
      fromMs: performance.now(),
    });
    if (this.#events.length > MAX_EVENTS) {
      this.#events = this.#events.slice(-MAX_EVENTS / 2);
    }
  }
}
