/**
 * Finds the newest whole checkpoints of a stream. It looks back from the
 * stream's end in spans that grow, and decodes only entries that hold a part of
 * a checkpoint, so that a long tail costs little. More than one is returned,
 * since the newest may be of a release that this one cannot read.
 */
import { ok, type Result } from "neverthrow";
import {
  CheckpointCollector,
  type CheckpointText,
  decodeEntry,
  type RawEntry,
} from "../state/mod.ts";
import { type LogClient, type LogFailure, type LogPage } from "./log_client.ts";

/** Where to look. */
export interface SearchOptions {
  readonly client: LogClient;
  readonly stream: string;
  /** The oldest offset that the log keeps, and the one of the next append. */
  readonly first: number;
  readonly next: number;
}

const FIRST_SPAN_ENTRIES = 1000;
const SPAN_GROWTH = 8;
const PAGE_ENTRIES = 200;
const PART_MARK = '"kind":"checkpoint"';

/** The most checkpoints that a search returns. */
const MAX_FOUND = 3;

/** The newest whole checkpoints, newest first; none if the log keeps none. */
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
    found.length = Math.min(found.length, MAX_FOUND);
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
    if (!payload.includes(PART_MARK)) continue;
    const whole = collector.collect(decodeEntry(offset, payload));
    if (whole !== undefined) found.push(whole);
  }
  return found;
}
