/** Tests of the tallies in messages between gateways. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { z } from "zod";
import { EMPTY_TALLY, MAX_TIME_BUCKETS } from "../../decision/mod.ts";
import { encodeVmTally, vmTallySchema } from "./tally_message.ts";

const SEED = 20_261_206;

const plainSchema = z.record(
  z.string().min(1).max(255),
  z.array(z.number().int().nonnegative()).max(MAX_TIME_BUCKETS),
);

const times = fc.dictionary(
  fc.oneof(
    { weight: 20, arbitrary: fc.string({ minLength: 1, maxLength: 20 }) },
    { weight: 1, arbitrary: fc.constantFrom("", "x".repeat(256)) },
  ),
  fc.oneof(
    {
      weight: 20,
      arbitrary: fc.array(fc.nat(), { maxLength: MAX_TIME_BUCKETS }),
    },
    {
      weight: 1,
      arbitrary: fc.oneof(
        fc.array(fc.nat(), { minLength: MAX_TIME_BUCKETS + 1 }),
        fc.array(fc.double()),
        fc.anything({ maxDepth: 2 }),
      ),
    },
  ),
  { maxKeys: 6, noNullPrototype: true },
).filter((value) => !Object.hasOwn(value, "__proto__"));

// Guards against counts that are checked faster and taken or refused otherwise.
test("counts of times are taken and refused as by the plain schema", () => {
  let refusedCount = 0;
  fc.assert(
    fc.property(
      fc.oneof({ weight: 9, arbitrary: times }, fc.anything()),
      (targetTimes) => {
        fc.pre(targetTimes !== undefined);
        const tally = { ...EMPTY_TALLY, targetTimes };
        const head = { vm: "a#1", sequence: 1, otherInFlightCount: 0 };
        const parsed = vmTallySchema.safeParse({ ...head, tally });
        const plain = plainSchema.safeParse(targetTimes);
        assert.equal(parsed.success, plain.success);
        if (!plain.success) refusedCount += 1;
        assert.deepEqual(parsed.data?.tally.targetTimes, plain.data);
      },
    ),
    { seed: SEED, numRuns: 2000 },
  );
  assert.ok(refusedCount > 200, String(refusedCount));
});

test("a tally without groups arrives as it was sent", () => {
  const vmTally = {
    ...{ vm: "a#1", sequence: 3, otherInFlightCount: 2 },
    tally: EMPTY_TALLY,
  };
  assert.deepEqual(vmTallySchema.parse(encodeVmTally(vmTally)), vmTally);
});
