/**
 * Bundles the program for the users' platform into `target/`, with V8's code
 * cache beside it, so that a restarted process neither reads some hundred files
 * nor compiles them. Run it with the V8 flags of the program: a cache made under
 * other flags is refused, and the program then compiles as usual.
 */
import { buildSync } from "esbuild";
import { mkdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import Module from "node:module";
import { Script } from "node:vm";

const FOLDER = "target";
const PROGRAM = `${FOLDER}/program.cjs`;
const CACHE = `${FOLDER}/program.cache`;
const LOADER = `${FOLDER}/main.cjs`;

rmSync(FOLDER, { recursive: true, force: true });
mkdirSync(FOLDER);
buildSync({
  entryPoints: ["platform/main.ts"],
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  outfile: PROGRAM,
  // An optional native part of cbor-x, which is not installed.
  external: ["cbor-extract"],
  logLevel: "error",
});

const script = new Script(Module.wrap(readFileSync(PROGRAM, "utf8")), {
  filename: PROGRAM,
});
// Evaluated without being run, so that the cache holds what a start compiles.
const require = createRequire(import.meta.url);
script.runInThisContext()({}, require, { exports: {} }, PROGRAM, FOLDER);
writeFileSync(CACHE, script.createCachedData());

writeFileSync(
  LOADER,
  `"use strict";
const { readFileSync } = require("node:fs");
const { wrap } = require("node:module");
const { Script } = require("node:vm");
const { join } = require("node:path");
const read = (name, encoding) => readFileSync(join(__dirname, name), encoding);
const script = new Script(wrap(read("program.cjs", "utf8")), {
  filename: "program.cjs",
  cachedData: read("program.cache"),
});
const program = { exports: {} };
script.runInThisContext()(program.exports, require, program, __filename, __dirname);
program.exports.run();
`,
);
