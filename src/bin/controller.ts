#!/usr/bin/env node
/** The program `goldcrestpost-controller`: runs the set of controllers. */
import { startController } from "./controller_program.ts";
import { runProgram } from "./program.ts";

await runProgram("controller", startController);
