/**
 * An immutable map that evicts the least recently written keys. Eviction
 * depends on the writes only, so replay evicts the same keys on every VM.
 */
import { List, Map as PersistentMap } from "immutable";

interface Write<Key, Value> {
  readonly key: Key;
  readonly value: Value;
}

/** An immutable map of at most `limit` keys. */
export class BoundedMap<Key, Value> {
  /** The retained keys and values. */
  readonly entries: PersistentMap<Key, Value>;
  readonly limit: number;
  /** Writes, oldest first, including some that later writes replaced. */
  readonly #writes: List<Write<Key, Value>>;

  private constructor(
    entries: PersistentMap<Key, Value>,
    writes: List<Write<Key, Value>>,
    limit: number,
  ) {
    this.entries = entries;
    this.limit = limit;
    this.#writes = writes;
  }

  static create<Key, Value>(limit: number): BoundedMap<Key, Value> {
    return new BoundedMap(PersistentMap(), List(), limit);
  }

  /** Builds a map from pairs, least recently written first. */
  static of<Key, Value>(
    pairs: Iterable<readonly [Key, Value]>,
    limit: number,
  ): BoundedMap<Key, Value> {
    const writes = List(pairs).map(([key, value]) => ({ key, value }));
    const entries = PersistentMap<Key, Value>(
      writes.map(({ key, value }) => [key, value]),
    );
    return new BoundedMap(entries, writes, limit);
  }

  get size(): number {
    return this.entries.size;
  }

  get(key: Key): Value | undefined {
    return this.entries.get(key);
  }

  has(key: Key): boolean {
    return this.entries.has(key);
  }

  /**
   * Returns the map with the value set. The value must be a new object, since
   * replaced writes are detected by identity.
   */
  set(key: Key, value: Value): BoundedMap<Key, Value> {
    const entries = this.entries.set(key, value);
    const writes = this.#writes.push({ key, value });
    return new BoundedMap(entries, writes, this.limit).#evicted();
  }

  /** Returns the pairs, least recently written first. */
  toPairs(): [Key, Value][] {
    const pairs: [Key, Value][] = [];
    for (const write of this.#writes) {
      if (this.#isCurrent(write)) pairs.push([write.key, write.value]);
    }
    return pairs;
  }

  #evicted(): BoundedMap<Key, Value> {
    let { entries } = this;
    let writes = this.#writes;
    while (entries.size > this.limit) {
      const oldest = writes.first();
      if (oldest === undefined) break;
      writes = writes.shift();
      if (this.#isCurrent(oldest)) entries = entries.delete(oldest.key);
    }
    if (writes.size > 2 * this.limit) {
      writes = writes.filter((write) => this.#isCurrent(write));
    }
    return new BoundedMap(entries, writes, this.limit);
  }

  #isCurrent(write: Write<Key, Value>): boolean {
    return this.entries.get(write.key) === write.value;
  }
}
