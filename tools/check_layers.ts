/**
 * Checks the layer rules of `src/` and the adapter, and that there are no
 * import cycles; exits with 1 after a violation.
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import {
  ADAPTER,
  checkAdapter,
  checkImportCycles,
  checkLayer,
} from "./layers.ts";
import { listFiles } from "./source_files.ts";

const sources = new Map(
  [...listFiles("src", ".ts"), ...listFiles(ADAPTER, ".ts")].map((file) => [
    file,
    readFileSync(file, "utf8"),
  ]),
);
const violations = checkImportCycles(sources);
for (const [file, source] of sources) {
  const isAdapter = file.startsWith(`${ADAPTER}/`);
  violations.push(
    ...isAdapter ? checkAdapter(file, source) : checkLayer(file, source),
  );
}
for (const one of violations) console.error(`${one.file}: ${one.rule}`);
console.log(`layers: ${sources.size} files, ${violations.length} violations`);
process.exitCode = violations.length === 0 ? 0 : 1;
