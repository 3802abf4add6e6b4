/** Tests of the layer rule. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { checkLayer } from "./layers.ts";

test("an import of an earlier layer is allowed", () => {
  const source = 'import { a } from "../model/mod.ts";';
  assert.deepEqual(checkLayer("src/state/x.ts", source), []);
});

test("an import of a later layer is a fault", () => {
  const source = 'import { a } from "../filter/mod.ts";';
  assert.equal(checkLayer("src/state/x.ts", source).length, 1);
});

test("a clock in a pure layer is a fault", () => {
  const source = "const now = Date.now();";
  assert.equal(checkLayer("src/decision/x.ts", source).length, 1);
  assert.equal(checkLayer("src/wire/x.ts", source).length, 0);
});

test("an import from outside src is a fault", () => {
  const source = 'import { a } from "../../standin/mod.ts";';
  assert.equal(checkLayer("src/bin/x.ts", source).length, 1);
});
