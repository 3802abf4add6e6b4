/** Tests of reading log lines from streams and files. */
import assert from "node:assert/strict";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Readable } from "node:stream";
import { test } from "node:test";
import { gzipSync } from "node:zlib";
import fc from "fast-check";
import { linesOf, MAX_LINE_CHARS, readLogLines } from "./log_lines.ts";

async function collect(lines: AsyncIterable<string>): Promise<string[]> {
  const collected: string[] = [];
  for await (const line of lines) collected.push(line);
  return collected;
}

test("lines are the same however the bytes are cut into chunks", async () => {
  const text = fc.array(
    fc.string({ unit: "grapheme", maxLength: 12 })
      .map((line) => line.replaceAll(/[\r\n]/g, "")),
    { maxLength: 8 },
  );
  await fc.assert(
    fc.asyncProperty(
      text,
      fc.integer({ min: 1, max: 7 }),
      async (lines, size) => {
        const bytes = Buffer.from(lines.map((line) => `${line}\n`).join(""));
        const chunks: Buffer[] = [];
        for (let at = 0; at < bytes.length; at += size) {
          chunks.push(bytes.subarray(at, at + size));
        }
        const stream = Readable.from(chunks, { objectMode: false });
        assert.deepEqual(await collect(linesOf(stream)), lines);
      },
    ),
    { seed: 20_261_204, numRuns: 100 },
  );
});

test("a line without an end is read, an oversize one is skipped", async () => {
  const long = "x".repeat(MAX_LINE_CHARS / 2);
  const stream = Readable.from(["a\n", long, long, long, "\nb\nc"], {
    objectMode: false,
  });
  assert.deepEqual(await collect(linesOf(stream)), ["a", "b", "c"]);
});

test("plain and compressed files are read in order", async (context) => {
  const folder = await mkdtemp(join(tmpdir(), "log-lines-"));
  context.after(() => rm(folder, { recursive: true }));
  const [plain, compressed] = [join(folder, "a"), join(folder, "b.gz")];
  await writeFile(plain, "one\ntwo\n");
  await writeFile(compressed, gzipSync("three\nfour\n"));
  const lines = await collect(readLogLines([compressed, plain]));
  assert.deepEqual(lines, ["three", "four", "one", "two"]);
});

test("a file that is not there is an error", async () => {
  await assert.rejects(collect(readLogLines(["/nonexistent/log"])), /ENOENT/);
});
