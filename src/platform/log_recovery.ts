/**
 * Finds the newest whole checkpoint of a stream. It looks back from the
 * stream's end in spans that grow, and decodes only entries that hold a part of
 * a checkpoint, so that a long tail costs little.
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

/** The newest whole checkpoint, if the log keeps one. */
export async function findCheckpoint(
  options: SearchOptions,
): Promise<Result<CheckpointText | undefined, LogFailure>> {
  let span = FIRST_SPAN_ENTRIES;
  while (true) {
    const from = Math.max(options.first, options.next - span);
    const found = await searchFrom(from, options);
    if (found.isErr() || found.value !== undefined) return found;
    if (from === options.first) return ok(undefined);
    span *= SPAN_GROWTH;
  }
}

async function searchFrom(
  from: number,
  options: SearchOptions,
): Promise<Result<CheckpointText | undefined, LogFailure>> {
  const collector = new CheckpointCollector();
  let newest: CheckpointText | undefined;
  let offset = from;
  while (offset < options.next) {
    const page = await readPage(offset, options);
    if (page.isErr()) return page.map(() => undefined);
    const last = page.value.entries.at(-1);
    if (last === undefined) break;
    newest = newestOf(collector, page.value.entries) ?? newest;
    offset = last.offset + 1;
  }
  return ok(newest);
}

function readPage(
  from: number,
  { client, stream }: SearchOptions,
): Promise<Result<LogPage, LogFailure>> {
  return client.read(stream, { from, limit: PAGE_ENTRIES, waitMs: 0 });
}

function newestOf(
  collector: CheckpointCollector,
  entries: readonly RawEntry[],
): CheckpointText | undefined {
  let newest: CheckpointText | undefined;
  for (const { offset, payload } of entries) {
    if (!payload.includes(PART_MARK)) continue;
    const whole = collector.collect(decodeEntry(offset, payload));
    if (whole === undefined) continue;
    if (newest === undefined || whole.covers > newest.covers) newest = whole;
  }
  return newest;
}
