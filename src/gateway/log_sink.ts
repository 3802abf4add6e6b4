/**
 * Writes log lines to a file descriptor without ever waiting for its reader.
 * Lines wait in a bounded queue while a write is under way; what finds no room
 * is counted, and the count is written as soon as there is room again.
 */
import { write } from "node:fs";

/** Lines held while the reader is slow. */
export const MAX_QUEUED_BYTES = 256 * 1024;

/** Writes lines; returns at once. */
export type LineSink = (line: string) => void;

/** Writes bytes and says when they are written, or why not. */
export type WriteBytes = (
  bytes: Buffer,
  onDone: (error: Error | null, writtenBytes: number) => void,
) => void;

/** A writer on a file descriptor. */
export function descriptorWriter(descriptor: number): WriteBytes {
  return (bytes, onDone) => write(descriptor, bytes, onDone);
}

/** A sink over a writer. */
export function createLineSink(writeBytes: WriteBytes): LineSink {
  let queue: string[] = [];
  let queuedBytes = 0;
  let leftOutCount = 0;
  let isWriting = false;

  const flush = (): void => {
    if (isWriting || (queue.length === 0 && leftOutCount === 0)) return;
    if (leftOutCount > 0) {
      const count = leftOutCount;
      queue.push(JSON.stringify({ event: "log lines left out", count }));
      leftOutCount = 0;
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
      if (isBusy) setTimeout(() => send(bytes), RETRY_MS).unref();
      else if (error === null && writtenBytes < bytes.length) {
        send(bytes.subarray(writtenBytes));
      } else flush();
    });
  };

  return (line) => {
    if (queuedBytes + line.length > MAX_QUEUED_BYTES) {
      leftOutCount += 1;
      return;
    }
    queue.push(line);
    queuedBytes += line.length;
    if (!isWriting && queue.length === 1) setImmediate(flush);
  };
}

/** Until a full pipe is tried again. */
const RETRY_MS = 20;
