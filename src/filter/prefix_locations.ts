/**
 * Remembers where a conversation's prefix was last computed. It is a hint: a
 * wrong one costs time, nothing else. Bounded; the conversation unused for
 * longest is forgotten.
 */

/** Share of a prompt that is expected in the cache where it last ran. */
const CACHED_SHARE = 0.8;

const MAX_CONVERSATIONS = 10_000;

/** The server that last ran each conversation. */
export class PrefixLocations {
  readonly #servers = new Map<string, string>();

  /** The share of the prompt expected in the cache of a server. */
  cachedShareAt(prefixKey: string | undefined, server: string): number {
    if (prefixKey === undefined) return 0;
    return this.#servers.get(prefixKey) === server ? CACHED_SHARE : 0;
  }

  /** Notes that a conversation runs on a server. */
  note(prefixKey: string | undefined, server: string): void {
    if (prefixKey === undefined) return;
    this.#servers.delete(prefixKey);
    this.#servers.set(prefixKey, server);
    if (this.#servers.size <= MAX_CONVERSATIONS) return;
    const oldest = this.#servers.keys().next();
    if (oldest.done !== true) this.#servers.delete(oldest.value);
  }
}
