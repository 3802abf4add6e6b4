#!/usr/bin/env node
/** The program `goldcrestpost-entry`: takes the callers' requests. */
import { startEntry } from "./entry_program.ts";
import { runProgram } from "./program.ts";

await runProgram("entry", startEntry);
