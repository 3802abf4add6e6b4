/**
 * Checkpoints: a state written as records of its own stream, in parts of
 * bounded size. Since the log retains records for a limited time, checkpoints
 * are written regularly; a starting process reads the newest complete one and
 * the records after it. Two checkpoints of the same position are equal, so
 * writing one twice is harmless. The text is compressed, since every reader of
 * the stream also reads its checkpoints.
 */
import { Buffer } from "node:buffer";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { err, ok, Result } from "neverthrow";
import { type Position } from "./position.ts";
import {
  type LogEntry,
  MAX_PART_CHARS,
  MAX_PARTS,
  type RecordOf,
} from "./record.ts";

/** A complete checkpoint: the state's JSON form and the position it covers. */
export interface CheckpointText {
  readonly covers: Position;
  readonly text: string;
}

/** Splits a state's JSON form into the records of a checkpoint. */
export function splitCheckpoint(
  checkpoint: CheckpointText,
  checkpointId: string,
): Result<RecordOf<"checkpoint">[], string> {
  const { covers, text } = checkpoint;
  const compressed = deflateRawSync(text).toString("base64");
  const parts = Math.max(1, Math.ceil(compressed.length / MAX_PART_CHARS));
  if (parts > MAX_PARTS) {
    return err(`a checkpoint of ${parts} parts exceeds the limit`);
  }
  return ok(Array.from({ length: parts }, (_, part) => ({
    id: `${checkpointId}:${part}`,
    kind: "checkpoint",
    checkpointId,
    covers,
    part,
    parts,
    data: compressed.slice(part * MAX_PART_CHARS, (part + 1) * MAX_PART_CHARS),
  })));
}

/** Limit of a state's JSON form after decompression. */
const MAX_TEXT_BYTES = 128 * 1024 * 1024;

/** Incomplete checkpoints buffered at the same time. */
const MAX_INCOMPLETE = 4;

interface IncompleteCheckpoint {
  readonly covers: Position;
  readonly parts: number;
  readonly data: Map<number, string>;
}

/**
 * Assembles checkpoints from their parts, which may arrive in any order. If
 * there are too many incomplete checkpoints, the one with the lowest position
 * is evicted.
 */
export class CheckpointCollector {
  readonly #incomplete = new Map<string, IncompleteCheckpoint>();

  /** Adds an entry's parts; returns the newest checkpoint they complete. */
  collect(entry: LogEntry): CheckpointText | undefined {
    let newest: CheckpointText | undefined;
    for (const record of entry.records) {
      if (record.kind !== "checkpoint") continue;
      const found = this.#add(record);
      if (found === undefined) continue;
      if (newest === undefined || found.covers > newest.covers) newest = found;
    }
    return newest;
  }

  #add(record: RecordOf<"checkpoint">): CheckpointText | undefined {
    const checkpoint = this.#incomplete.get(record.checkpointId) ?? {
      covers: record.covers,
      parts: record.parts,
      data: new Map<number, string>(),
    };
    checkpoint.data.set(record.part, record.data);
    this.#incomplete.set(record.checkpointId, checkpoint);
    if (checkpoint.data.size < checkpoint.parts) {
      this.#evictOldest();
      return undefined;
    }
    this.#incomplete.delete(record.checkpointId);
    const text = decompress(joinParts(checkpoint));
    if (text.isErr()) return undefined;
    return { covers: checkpoint.covers, text: text.value };
  }

  #evictOldest(): void {
    if (this.#incomplete.size <= MAX_INCOMPLETE) return;
    let oldestId: string | undefined;
    let oldestCovers = Number.POSITIVE_INFINITY;
    for (const [id, checkpoint] of this.#incomplete) {
      if (checkpoint.covers >= oldestCovers) continue;
      oldestId = id;
      oldestCovers = checkpoint.covers;
    }
    if (oldestId !== undefined) this.#incomplete.delete(oldestId);
  }
}

function joinParts(checkpoint: IncompleteCheckpoint): string {
  const parts: string[] = [];
  for (let part = 0; part < checkpoint.parts; part += 1) {
    parts.push(checkpoint.data.get(part) ?? "");
  }
  return parts.join("");
}

const decompress = Result.fromThrowable(
  (compressed: string) =>
    inflateRawSync(Buffer.from(compressed, "base64"), {
      maxOutputLength: MAX_TEXT_BYTES,
    }).toString("utf8"),
  () => "the checkpoint cannot be decompressed",
);
