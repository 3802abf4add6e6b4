/**
 * Reads log files and standard input line by line, in bounded memory, whatever
 * their size. Compressed files (gzip, as a rotated log may be) are recognised
 * by their first bytes.
 */
import { createReadStream } from "node:fs";
import { open } from "node:fs/promises";
import { type Readable } from "node:stream";
import { createGunzip } from "node:zlib";

/** A longer line is no log line of ours and is skipped. */
export const MAX_LINE_CHARS = 1024 * 1024;
const GZIP_MAGIC = Buffer.from([0x1f, 0x8b]);

/** Yields the lines of the files in order; of standard input without files. */
export async function* readLogLines(
  paths: readonly string[],
): AsyncGenerator<string> {
  if (paths.length === 0) yield* linesOf(process.stdin);
  for (const path of paths) {
    const isCompressed = await isGzip(path);
    const file = createReadStream(path);
    if (!isCompressed) {
      yield* linesOf(file);
      continue;
    }
    const plain = createGunzip();
    file.on("error", (error) => plain.destroy(error));
    yield* linesOf(file.pipe(plain));
  }
}

/** Yields the lines of a stream without their ends. */
export async function* linesOf(source: Readable): AsyncGenerator<string> {
  source.setEncoding("utf8");
  let rest = "";
  let isSkipping = false;
  for await (const chunk of source) {
    const parts = (rest + String(chunk)).split("\n");
    rest = parts.pop() ?? "";
    for (const line of parts) {
      if (!isSkipping) yield line.endsWith("\r") ? line.slice(0, -1) : line;
      isSkipping = false;
    }
    if (rest.length <= MAX_LINE_CHARS) continue;
    rest = "";
    isSkipping = true;
  }
  if (rest !== "" && !isSkipping) yield rest;
}

async function isGzip(path: string): Promise<boolean> {
  const file = await open(path);
  try {
    const { buffer, bytesRead } = await file.read({
      buffer: Buffer.alloc(GZIP_MAGIC.length),
    });
    return bytesRead === GZIP_MAGIC.length && buffer.equals(GZIP_MAGIC);
  } finally {
    await file.close();
  }
}
