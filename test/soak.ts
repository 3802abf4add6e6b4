/**
 * `npm run soak -- --minutes N --seed S`: runs clusters one after another, each
 * with up to two faults chosen at random from the seed, until the time is over.
 * Prints each run with its violations and the seed that reproduces them; the
 * exit status is 1 if a promise was broken.
 */
import { performance } from "node:perf_hooks";
import process from "node:process";
import { parseArgs } from "node:util";
import { createRandom } from "../standin/mod.ts";
import { FAULT_NAMES, type FaultName } from "./faults.ts";
import { runCase } from "./integration/fault_case.ts";
import { checkInvariants } from "./invariants.ts";
import { DEPLOYMENTS } from "./site_plan.ts";

const MS_PER_MINUTE = 60_000;

const { values } = parseArgs({
  options: {
    minutes: { type: "string", default: "5" },
    seed: { type: "string", default: "1" },
  },
});

const endMs = performance.now() + Number(values.minutes) * MS_PER_MINUTE;
const random = createRandom(Number(values.seed));
let runCount = 0;
let brokenCount = 0;

function sample<Item>(items: readonly Item[]): Item {
  const item = items[Math.floor(random() * items.length)];
  if (item === undefined) throw new RangeError("cannot sample an empty list");
  return item;
}

while (performance.now() < endMs) {
  const deployment = sample(DEPLOYMENTS);
  const faults: FaultName[] = [
    ...new Set([sample(FAULT_NAMES), sample(FAULT_NAMES)]),
  ];
  const seed = Math.floor(random() * 1_000_000);
  const { evidence, requests } = await runCase({
    deployment,
    faults,
    seed,
  });
  const violations = checkInvariants(evidence);
  runCount += 1;
  if (violations.length > 0) brokenCount += 1;
  const whole = requests.filter((one) => one.last.end === "whole").length;
  console.log(JSON.stringify({
    deployment,
    faults,
    seed,
    requests: requests.length,
    whole,
    violations,
  }));
}
console.log(JSON.stringify({ runs: runCount, broken: brokenCount }));
process.exitCode = brokenCount === 0 ? 0 : 1;
