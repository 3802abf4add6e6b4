/**
 * Writes log lines to a file descriptor without blocking on its reader. Lines
 * are buffered in a bounded queue during a write. Lines that exceed the bound
 * are dropped and counted, and the count is written with the next batch.
 */
import { write } from "node:fs";

/** Bound of the lines that are buffered while the reader is slow. */
export const MAX_QUEUED_BYTES = 256 * 1024;

/** Queues a line without its line break; returns at once. */
export type LineSink = (line: string) => void;

/** Writes bytes and calls back with the error or the number written. */
export type WriteBytes = (
  bytes: Buffer,
  onDone: (error: Error | null, writtenBytes: number) => void,
) => void;

/** Creates a writer to a file descriptor. */
export function descriptorWriter(descriptor: number): WriteBytes {
  return (bytes, onDone) => write(descriptor, bytes, onDone);
}

/** Creates a sink that buffers lines for a writer. */
export function createLineSink(writeBytes: WriteBytes): LineSink {
  let queue: string[] = [];
  let queuedBytes = 0;
  let droppedCount = 0;
  let isWriting = false;

  const flush = (): void => {
    if (isWriting || (queue.length === 0 && droppedCount === 0)) return;
    if (droppedCount > 0) {
      const count = droppedCount;
      queue.push(JSON.stringify({ event: "log lines dropped", count }));
      droppedCount = 0;
    }
    const bytes = Buffer.from(`${queue.join("\n")}\n`);
    queue = [];
    queuedBytes = 0;
    send(bytes);
  };

  const send = (bytes: Buffer): void => {
    isWriting = true;
    writeBytes(bytes, (error, writtenBytes) => {
      isWriting = false;
      const isBusy = (error as NodeJS.ErrnoException | null)?.code === "EAGAIN";
      if (isBusy) setTimeout(() => send(bytes), RETRY_DELAY_MS).unref();
      else if (error === null && writtenBytes < bytes.length) {
        send(bytes.subarray(writtenBytes));
      } else flush();
    });
  };

  return (line) => {
    if (queuedBytes + line.length > MAX_QUEUED_BYTES) {
      droppedCount += 1;
      return;
    }
    queue.push(line);
    queuedBytes += line.length;
    if (!isWriting && queue.length === 1) setImmediate(flush);
  };
}

/** Delay before the next write to a full pipe. */
const RETRY_DELAY_MS = 20;
