/**
 * Writes checkpoints of the streams that a process replays, each when it is
 * due. Parts go out a few at a time, so that other records find room in the
 * queue and in the append budget.
 */
import {
  type Clock,
  type Logger,
  type Metrics,
  type Random,
  type Sleep,
} from "../model/mod.ts";
import {
  type Position,
  type RecordOf,
  splitCheckpoint,
  type StateCodec,
} from "../state/mod.ts";
import { type LogStream, type Replayable } from "./log_stream.ts";

/** What the writer of checkpoints needs. */
export interface CheckpointOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly sleep: Sleep;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** A stream and the name and codec of its state. */
export interface CheckpointSource<State extends Replayable<State>> {
  readonly name: string;
  readonly stream: LogStream<State>;
  readonly codec: StateCodec<State>;
}

const CHECK_MS = 1000;
const PART_TIMEOUT_MS = 15_000;
const PARTS_AT_ONCE = 4;
const ID_DIGITS = 36;

/** Writes a checkpoint of a stream if one is due. */
export async function writeCheckpointIfDue<State extends Replayable<State>>(
  source: CheckpointSource<State>,
  options: CheckpointOptions,
): Promise<void> {
  const { name, stream, codec } = source;
  if (!stream.isCheckpointDue()) return;
  const covers: Position = stream.state.position;
  const text = codec.encode(stream.state);
  const nonce = options.random().toString(ID_DIGITS).slice(2);
  const parts = splitCheckpoint({ covers, text }, `${name}.${covers}.${nonce}`);
  const isWhole = parts.isOk() && await appendAll(stream, parts.value);
  stream.onCheckpointWritten(isWhole);
  options.metrics.count("log.checkpoint", 1, { stream: name, isWhole });
  options.logger.info("checkpoint", {
    stream: name,
    covers,
    isWhole,
    sizeChars: text.length,
  });
}

async function appendAll<State extends Replayable<State>>(
  stream: LogStream<State>,
  parts: readonly RecordOf<"checkpoint">[],
): Promise<boolean> {
  for (let start = 0; start < parts.length; start += PARTS_AT_ONCE) {
    const some = parts.slice(start, start + PARTS_AT_ONCE);
    const appends = some.map((part) => stream.append(part, PART_TIMEOUT_MS));
    for (const appended of await Promise.all(appends)) {
      if (appended.isErr()) return false;
    }
  }
  return true;
}

/** Calls `writeAll` again and again until `signal` aborts. */
export async function runCheckpoints(
  writeAll: () => Promise<void>,
  options: CheckpointOptions & { readonly signal: AbortSignal },
): Promise<void> {
  while (!options.signal.aborted) {
    await options.sleep(CHECK_MS, options.signal);
    if (!options.signal.aborted) await writeAll();
  }
}
