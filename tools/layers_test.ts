/** Tests of the layer rules. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { checkAdapter, checkImportCycles, checkLayer } from "./layers.ts";

test("an import of a lower layer is allowed", () => {
  const source = 'import { a } from "../model/mod.ts";';
  assert.deepEqual(checkLayer("src/state/x.ts", source), []);
});

test("an import of a higher layer is a violation", () => {
  const source = 'import { a } from "../filter/mod.ts";';
  assert.equal(checkLayer("src/state/x.ts", source).length, 1);
});

test("a clock in a pure layer is a violation", () => {
  const source = "const now = Date.now();";
  assert.equal(checkLayer("src/decision/x.ts", source).length, 1);
  assert.equal(checkLayer("src/wire/x.ts", source).length, 0);
});

test("an import from outside src is a violation", () => {
  const source = 'import { a } from "../../standin/mod.ts";';
  assert.equal(checkLayer("src/bin/x.ts", source).length, 1);
});

test("an import cycle is a violation", () => {
  const cycle = new Map([
    ["src/bin/a.ts", 'import { b } from "./b.ts";'],
    ["src/bin/b.ts", 'import { c } from "./c.ts";'],
    ["src/bin/c.ts", 'import { a } from "./a.ts";'],
  ]);
  assert.equal(checkImportCycles(cycle).length, 1);
  cycle.set("src/bin/c.ts", "");
  assert.deepEqual(checkImportCycles(cycle), []);
});

test("the adapter imports only src, and src never imports it", () => {
  const own = 'import { a } from "../src/gateway/mod.ts";';
  assert.deepEqual(checkAdapter("platform/x.ts", own), []);
  const other = 'import { a } from "../test/wait.ts";';
  assert.equal(checkAdapter("platform/x.ts", other).length, 1);
  const reverse = 'import { a } from "../../platform/headers.ts";';
  assert.equal(checkLayer("src/bin/x.ts", reverse).length, 1);
});
