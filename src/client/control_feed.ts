/**
 * Hands the control stream to peers and takes it from them, so that a VM that
 * is cut from the log still learns of new settings. A peer far behind gets a
 * checkpoint of this process's state in place of the entries it missed.
 */
import {
  CheckpointCollector,
  type CheckpointText,
  controlCodec,
  type ControlState,
  decodeEntry,
  encodeBatch,
  offsetOf,
  type Position,
  type RawEntry,
  splitCheckpoint,
} from "../state/mod.ts";
import { RecentEntries } from "./recent_entries.ts";

/** Offset of an entry made for a peer, which stands in no stream. */
export const NO_OFFSET = -1;

/** The entries that peers give and get. */
export class ControlFeed {
  readonly #recent = new RecentEntries();
  readonly #collector = new CheckpointCollector();
  #checkpointState: ControlState | undefined;
  #checkpoint: readonly RawEntry[] = [];

  /** Keeps an entry that was applied. */
  push(entry: RawEntry): void {
    this.#recent.push(entry);
  }

  /** Entries after `position`, or all parts of a checkpoint. */
  after(
    position: Position,
    options: {
      readonly state: ControlState;
      readonly nextOffset: number;
      readonly limit: number;
    },
  ): RawEntry[] {
    const from = offsetOf(position) + 1;
    if (from >= options.nextOffset) return [];
    const entries = this.#recent.from(from, options.limit);
    return entries ?? [...this.#checkpointOf(options.state)];
  }

  /** The checkpoint that a peer's entries make whole, if they do. */
  collect(entries: readonly RawEntry[]): CheckpointText | undefined {
    let newest: CheckpointText | undefined;
    for (const { offset, payload } of entries) {
      if (offset !== NO_OFFSET) continue;
      const whole = this.#collector.collect(decodeEntry(offset, payload));
      if (whole !== undefined) newest = whole;
    }
    return newest;
  }

  #checkpointOf(state: ControlState): readonly RawEntry[] {
    if (this.#checkpointState === state) return this.#checkpoint;
    const text = controlCodec.encode(state);
    const covers = state.position;
    const parts = splitCheckpoint({ covers, text }, `peer-${covers}`);
    this.#checkpointState = state;
    this.#checkpoint = parts.unwrapOr([]).map((part) => ({
      offset: NO_OFFSET,
      payload: encodeBatch([part]),
    }));
    return this.#checkpoint;
  }
}
