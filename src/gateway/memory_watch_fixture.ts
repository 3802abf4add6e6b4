/** Watches by how much the memory of the tests' process grows. */
import { type TestContext } from "node:test";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Buffers that nothing holds fill the memory between samples, the more the rarer. */
const SAMPLE_MS = 20;

setFlagsFromString("--expose-gc");
const collect = runInNewContext("gc") as () => void;

/** Samples the memory until the end of the test. */
export function watchMemory(
  context: TestContext,
): { readonly grownBytes: () => number } {
  collect();
  const before = process.memoryUsage.rss();
  let peak = before;
  const timer = setInterval(() => {
    // What is not collected yet is bounded by the heap's limit, which tests lack.
    collect();
    peak = Math.max(peak, process.memoryUsage.rss());
  }, SAMPLE_MS);
  context.after(() => clearInterval(timer));
  return { grownBytes: () => peak - before };
}
