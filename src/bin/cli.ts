#!/usr/bin/env node
/** The program `goldcrestpost`: the operators' command line. */
import { execute } from "@oclif/core";

await execute({ dir: import.meta.url });
