/**
 * An immutable map that keeps the keys written last. Which keys it drops
 * follows from the writes alone, so replay drops the same ones on every VM.
 */
import { List, Map as PersistentMap } from "immutable";

interface Write<Key, Value> {
  readonly key: Key;
  readonly value: Value;
}

/** A map of at most `limit` keys. */
export class BoundedMap<Key, Value> {
  /** The keys and values that are kept. */
  readonly entries: PersistentMap<Key, Value>;
  readonly limit: number;
  /** Writes, oldest first; one whose value was replaced no longer counts. */
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

  /** An empty map. */
  static create<Key, Value>(limit: number): BoundedMap<Key, Value> {
    return new BoundedMap(PersistentMap(), List(), limit);
  }

  /** A map of these pairs, oldest write first. */
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

  /** The number of keys. */
  get size(): number {
    return this.entries.size;
  }

  /** The value of a key. */
  get(key: Key): Value | undefined {
    return this.entries.get(key);
  }

  /** Whether the key is kept. */
  has(key: Key): boolean {
    return this.entries.has(key);
  }

  /** The map after a write. The value must be a new object. */
  set(key: Key, value: Value): BoundedMap<Key, Value> {
    const entries = this.entries.set(key, value);
    const writes = this.#writes.push({ key, value });
    return new BoundedMap(entries, writes, this.limit).#trimmed();
  }

  /** The pairs, oldest write first. */
  toPairs(): [Key, Value][] {
    const pairs: [Key, Value][] = [];
    for (const write of this.#writes) {
      if (this.#isLive(write)) pairs.push([write.key, write.value]);
    }
    return pairs;
  }

  #trimmed(): BoundedMap<Key, Value> {
    let { entries } = this;
    let writes = this.#writes;
    while (entries.size > this.limit) {
      const oldest = writes.first();
      if (oldest === undefined) break;
      writes = writes.shift();
      if (this.#isLive(oldest)) entries = entries.delete(oldest.key);
    }
    if (writes.size > 2 * this.limit) {
      writes = writes.filter((write) => this.#isLive(write));
    }
    return new BoundedMap(entries, writes, this.limit);
  }

  #isLive(write: Write<Key, Value>): boolean {
    return this.entries.get(write.key) === write.value;
  }
}
