/** Checks the layer rule over all of `src/`; exits 1 when it is broken. */
import { readFileSync } from "node:fs";
import process from "node:process";
import { checkLayer } from "./layers.ts";
import { listFiles } from "./source_files.ts";

const files = listFiles("src", ".ts");
const faults = files.flatMap((file) =>
  checkLayer(file, readFileSync(file, "utf8"))
);
for (const fault of faults) console.error(`${fault.file}: ${fault.rule}`);
console.log(`layers: ${files.length} files, ${faults.length} faults`);
process.exitCode = faults.length === 0 ? 0 : 1;
