/**
 * Writes a checkpoint of each replayed stream when it is due. Only a few parts
 * are appended at a time, so that other records still fit into the queue and
 * the append budget.
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

export interface CheckpointOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly sleep: Sleep;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** A stream to write checkpoints of. */
export interface CheckpointSource<State extends Replayable<State>> {
  readonly name: string;
  readonly stream: LogStream<State>;
  readonly codec: StateCodec<State>;
}

const CHECK_INTERVAL_MS = 1000;
const PART_TIMEOUT_MS = 15_000;
const MAX_CONCURRENT_PARTS = 4;
const NONCE_RADIX = 36;

/** Appends a checkpoint of a stream if one is due. */
export async function writeCheckpointIfDue<State extends Replayable<State>>(
  source: CheckpointSource<State>,
  options: CheckpointOptions,
): Promise<void> {
  const { name, stream, codec } = source;
  if (!stream.isCheckpointDue()) return;
  const covers: Position = stream.state.position;
  const text = codec.encode(stream.state);
  const nonce = options.random().toString(NONCE_RADIX).slice(2);
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
  for (let start = 0; start < parts.length; start += MAX_CONCURRENT_PARTS) {
    const batch = parts.slice(start, start + MAX_CONCURRENT_PARTS);
    const appends = batch.map((part) => stream.append(part, PART_TIMEOUT_MS));
    for (const appended of await Promise.all(appends)) {
      if (appended.isErr()) return false;
    }
  }
  return true;
}

/** Calls `writeAll` periodically until `signal` aborts. */
export async function runCheckpoints(
  writeAll: () => Promise<void>,
  options: CheckpointOptions & { readonly signal: AbortSignal },
): Promise<void> {
  while (!options.signal.aborted) {
    await options.sleep(CHECK_INTERVAL_MS, options.signal);
    if (!options.signal.aborted) await writeAll();
  }
}
