/** Reads JSON files passed on the command line. */
import { readFileSync } from "node:fs";
import { Result } from "ts-results-es";
import { type CommandFault, faultOf } from "./exit_status.ts";

/** Reads a JSON file; fails if it cannot be read or parsed. */
export function readJsonFile(file: string): Result<unknown, CommandFault> {
  return Result.wrap<unknown, Error>(() =>
    JSON.parse(readFileSync(file, "utf8"))
  ).mapErr((error) => faultOf("badInput", `${file}: ${error.message}`));
}
