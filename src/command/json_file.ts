/** Reads JSON files that operators name. */
import { readFileSync } from "node:fs";
import { Result } from "ts-results-es";
import { type CommandFault, faultOf } from "./exit_status.ts";

/** The JSON value in a file, or why there is none. */
export function readJsonFile(file: string): Result<unknown, CommandFault> {
  return Result.wrap<unknown, Error>(() =>
    JSON.parse(readFileSync(file, "utf8"))
  ).mapErr((error) => faultOf("badInput", `${file}: ${error.message}`));
}
