/**
 * Checks the layer rule over `src/` and the adapter, and that no files import
 * each other in a circle; exits 1 when a rule is broken.
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
const faults = checkImportCycles(sources);
for (const [file, source] of sources) {
  const isAdapter = file.startsWith(`${ADAPTER}/`);
  faults.push(
    ...isAdapter ? checkAdapter(file, source) : checkLayer(file, source),
  );
}
for (const fault of faults) console.error(`${fault.file}: ${fault.rule}`);
console.log(`layers: ${sources.size} files, ${faults.length} faults`);
process.exitCode = faults.length === 0 ? 0 : 1;
