/**
 * Finds the newest complete checkpoints of a stream. The search starts near the
 * end of the stream and widens its range until it finds one. Only entries that
 * contain a checkpoint part are decoded, which keeps a long tail cheap. Several
 * checkpoints are returned, since the newest may come from another release
 * whose format this one cannot read.
 */
import { ok, type Result } from "neverthrow";
import {
  CheckpointCollector,
  type CheckpointText,
  decodeEntry,
  type RawEntry,
} from "../state/mod.ts";
import { type LogClient, type LogFailure, type LogPage } from "./log_client.ts";

/** The stream to search. */
export interface SearchOptions {
  readonly client: LogClient;
  readonly stream: string;
  /** The oldest offset that the log retains. */
  readonly first: number;
  /** The offset of the next append. */
  readonly next: number;
}

const FIRST_SPAN_ENTRIES = 1000;
const SPAN_GROWTH = 8;
const PAGE_ENTRIES = 200;
const PART_MARKER = '"kind":"checkpoint"';

const MAX_CHECKPOINTS = 3;

/** Returns the newest complete checkpoints, newest first, if there are any. */
export async function findCheckpoints(
  options: SearchOptions,
): Promise<Result<CheckpointText[], LogFailure>> {
  let span = FIRST_SPAN_ENTRIES;
  while (true) {
    const from = Math.max(options.first, options.next - span);
    const found = await searchFrom(from, options);
    if (found.isErr() || found.value.length > 0) return found;
    if (from === options.first) return found;
    span *= SPAN_GROWTH;
  }
}

async function searchFrom(
  from: number,
  options: SearchOptions,
): Promise<Result<CheckpointText[], LogFailure>> {
  const collector = new CheckpointCollector();
  const found: CheckpointText[] = [];
  let offset = from;
  while (offset < options.next) {
    const page = await readPage(offset, options);
    if (page.isErr()) return page.map(() => []);
    const last = page.value.entries.at(-1);
    if (last === undefined) break;
    found.push(...collectFrom(collector, page.value.entries));
    found.sort((a, b) => b.covers - a.covers);
    found.length = Math.min(found.length, MAX_CHECKPOINTS);
    offset = last.offset + 1;
  }
  return ok(found);
}

function readPage(
  from: number,
  { client, stream }: SearchOptions,
): Promise<Result<LogPage, LogFailure>> {
  return client.read(stream, { from, limit: PAGE_ENTRIES, waitMs: 0 });
}

function collectFrom(
  collector: CheckpointCollector,
  entries: readonly RawEntry[],
): CheckpointText[] {
  const found: CheckpointText[] = [];
  for (const { offset, payload } of entries) {
    if (!payload.includes(PART_MARKER)) continue;
    const checkpoint = collector.collect(decodeEntry(offset, payload));
    if (checkpoint !== undefined) found.push(checkpoint);
  }
  return found;
}
