/**
 * Checkpoints: a state as records of its own stream, in parts of bounded size.
 * The log keeps records for a limited time, so the state is written again and
 * again; whoever starts reads the newest whole checkpoint and what follows it.
 * A checkpoint that is written twice says the same and does no harm. The text
 * is compressed, since every process that reads the stream reads it too.
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

/** A whole checkpoint as read: the state's JSON form and what it covers. */
export interface CheckpointText {
  readonly covers: Position;
  readonly text: string;
}

/** Splits a state's JSON form into the records of one checkpoint. */
export function splitCheckpoint(
  checkpoint: CheckpointText,
  checkpointId: string,
): Result<RecordOf<"checkpoint">[], string> {
  const { covers, text } = checkpoint;
  const packed = deflateRawSync(text).toString("base64");
  const parts = Math.max(1, Math.ceil(packed.length / MAX_PART_CHARS));
  if (parts > MAX_PARTS) {
    return err(`a checkpoint of ${parts} parts is too big`);
  }
  return ok(Array.from({ length: parts }, (_, part) => ({
    id: `${checkpointId}:${part}`,
    kind: "checkpoint",
    checkpointId,
    covers,
    part,
    parts,
    data: packed.slice(part * MAX_PART_CHARS, (part + 1) * MAX_PART_CHARS),
  })));
}

/** The most bytes of a state's JSON form. */
const MAX_TEXT_BYTES = 128 * 1024 * 1024;

/** Checkpoints whose parts are awaited at the same time. */
const MAX_OPEN = 4;

interface OpenCheckpoint {
  readonly covers: Position;
  readonly parts: number;
  readonly data: Map<number, string>;
}

/**
 * Puts checkpoints together from their parts. It keeps few at a time and drops
 * the one that covers least when there are too many.
 */
export class CheckpointCollector {
  readonly #open = new Map<string, OpenCheckpoint>();

  /** Takes the parts in an entry; returns the newest checkpoint made whole. */
  collect(entry: LogEntry): CheckpointText | undefined {
    let newest: CheckpointText | undefined;
    for (const record of entry.records) {
      if (record.kind !== "checkpoint") continue;
      const whole = this.#add(record);
      if (whole === undefined) continue;
      if (newest === undefined || whole.covers > newest.covers) newest = whole;
    }
    return newest;
  }

  #add(record: RecordOf<"checkpoint">): CheckpointText | undefined {
    const open = this.#open.get(record.checkpointId) ?? {
      covers: record.covers,
      parts: record.parts,
      data: new Map<number, string>(),
    };
    open.data.set(record.part, record.data);
    this.#open.set(record.checkpointId, open);
    if (open.data.size < open.parts) {
      this.#dropLeast();
      return undefined;
    }
    this.#open.delete(record.checkpointId);
    const text = unpack(packedOf(open));
    if (text.isErr()) return undefined;
    return { covers: open.covers, text: text.value };
  }

  #dropLeast(): void {
    if (this.#open.size <= MAX_OPEN) return;
    let least: string | undefined;
    let leastCovers = Number.POSITIVE_INFINITY;
    for (const [id, open] of this.#open) {
      if (open.covers >= leastCovers) continue;
      least = id;
      leastCovers = open.covers;
    }
    if (least !== undefined) this.#open.delete(least);
  }
}

function packedOf(open: OpenCheckpoint): string {
  const parts: string[] = [];
  for (let part = 0; part < open.parts; part += 1) {
    parts.push(open.data.get(part) ?? "");
  }
  return parts.join("");
}

const unpack = Result.fromThrowable(
  (packed: string) =>
    inflateRawSync(Buffer.from(packed, "base64"), {
      maxOutputLength: MAX_TEXT_BYTES,
    }).toString("utf8"),
  () => "the checkpoint cannot be decompressed",
);
