/** Tests of collecting the parts of a body. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ByteCollector } from "./byte_collector.ts";

const PART_COUNT = 100_000;

test("parts of any size are collected in order", () => {
  const part = fc.oneof(
    fc.uint8Array({ maxLength: 3 }),
    fc.uint8Array({ minLength: 4000, maxLength: 5000 }),
  );
  fc.assert(fc.property(fc.array(part, { maxLength: 40 }), (parts) => {
    const collector = new ByteCollector();
    for (const one of parts) collector.add(one);
    const whole = Buffer.concat(parts);
    assert.deepEqual(collector.concat(), whole);
    assert.equal(collector.length, whole.length);
  }));
});

// Guards against bodies in small chunks that take many times their length.
test("small parts take little more memory than their bytes", () => {
  const collector = new ByteCollector();
  for (let count = 0; count < PART_COUNT; count++) {
    collector.add(Uint8Array.of(count % 256));
  }
  assert.ok(collector.takenBytes <= 2 * PART_COUNT);
  assert.equal(collector.concat().length, PART_COUNT);
});
