/**
 * Exchange of the control stream with peers, so that a VM which cannot reach
 * the log still receives new settings. A peer that is far behind gets a
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

/** Offset of an entry that is made for a peer and is not in the stream. */
export const NO_OFFSET = -1;

/** Buffers entries for peers and assembles checkpoints from peers. */
export class ControlFeed {
  readonly #recent = new RecentEntries();
  readonly #collector = new CheckpointCollector();
  #checkpointState: ControlState | undefined;
  #checkpoint: readonly RawEntry[] = [];

  /** Buffers an entry that was applied. */
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

  /** Adds a peer's checkpoint parts; returns the newest one they complete. */
  collect(entries: readonly RawEntry[]): CheckpointText | undefined {
    let newest: CheckpointText | undefined;
    for (const { offset, payload } of entries) {
      if (offset !== NO_OFFSET) continue;
      const checkpoint = this.#collector.collect(decodeEntry(offset, payload));
      if (checkpoint !== undefined) newest = checkpoint;
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
