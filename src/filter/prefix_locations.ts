/**
 * Records which server last computed each conversation's prefix. A stale entry
 * only costs time. Bounded; the least recently used conversation is evicted.
 */

/** Expected cached share of a prompt on the server that last ran it. */
const CACHED_SHARE = 0.8;

const MAX_CONVERSATIONS = 10_000;

/** Last server of each conversation, by prefix key. */
export class PrefixLocations {
  readonly #servers = new Map<string, string>();

  /** Expected share of the prompt in a server's cache. */
  cachedShareAt(prefixKey: string | undefined, server: string): number {
    if (prefixKey === undefined) return 0;
    return this.#servers.get(prefixKey) === server ? CACHED_SHARE : 0;
  }

  /** Records that a conversation runs on a server. */
  record(prefixKey: string | undefined, server: string): void {
    if (prefixKey === undefined) return;
    this.#servers.delete(prefixKey);
    this.#servers.set(prefixKey, server);
    if (this.#servers.size <= MAX_CONVERSATIONS) return;
    const oldest = this.#servers.keys().next();
    if (oldest.done !== true) this.#servers.delete(oldest.value);
  }
}
