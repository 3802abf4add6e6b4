/**
 * Decodes the values of a topic, those that are retained once. A retained value is
 * a copy, so that it doesn't hold the whole answer that it came with, and no longer
 * than an entry has to be: of a longer one the fields that are read are retained.
 */
import { type StoreRecord } from "./store_record.ts";

export interface DecodedValuesOptions<Decoded> {
  readonly read: (record: StoreRecord) => Decoded | undefined;
  /** The longest value that is retained as it is written. */
  readonly longestBytes: number;
  /** Encodes a longer one with the fields that are read; undefined if it can't. */
  readonly shorten: (value: Buffer) => Buffer | undefined;
}

/** Decoded values by the retained value; forgotten together with it. */
export class DecodedValues<Decoded> {
  readonly #options: DecodedValuesOptions<Decoded>;
  readonly #retained = new WeakMap<
    Buffer,
    { readonly decoded: Decoded; readonly offset: number }
  >();

  constructor(options: DecodedValuesOptions<Decoded>) {
    this.#options = options;
  }

  /** Decodes a record; undefined if it can't be read or was dropped. */
  read(record: StoreRecord): Decoded | undefined {
    const { value, offset } = record;
    const known = value === undefined ? undefined : this.#retained.get(value);
    // What is decoded may name its offset.
    if (known?.offset === offset) return known.decoded;
    return this.#options.read(record);
  }

  /** Returns what a retained value decodes to. */
  decodedOf(value: Buffer): Decoded | undefined {
    return this.#retained.get(value)?.decoded;
  }

  /** Returns the value to retain; undefined if it can't be read. */
  valueOf(record: StoreRecord): Buffer | undefined {
    const { value, offset } = record;
    if (value === undefined || this.#retained.has(value)) return value;
    const decoded = this.#options.read(record);
    if (decoded === undefined) return undefined;
    const { longestBytes, shorten } = this.#options;
    const written = value.length > longestBytes ? shorten(value) : value;
    if (written === undefined || written.length > longestBytes) {
      return undefined;
    }
    const retained = Buffer.allocUnsafeSlow(written.length);
    written.copy(retained);
    this.#retained.set(retained, { decoded, offset });
    return retained;
  }
}
