#!/usr/bin/env node
/** The program `goldcrestpost-entry`: serves the requests of callers. */
import { startEntry } from "./entry_program.ts";
import { runProgram } from "./program.ts";

await runProgram("entry", startEntry);
