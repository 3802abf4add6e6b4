/**
 * Measures route policies and version strategies in virtual time and prints
 * Markdown tables.
 *
 * Usage: node dist/bench/policies/main.js [--seconds N] [--seed S]
 *   [--policies a,b] [--loads 50,80] [--slow 0,5] [--strategies]
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { runSite, type SiteRunOptions } from "./site_run.ts";
import { ENGINE_COUNT, SLOT_COUNT, versionModel, VM_COUNT } from "./site.ts";
import { createStrategies, type VersionStrategy } from "./strategies.ts";
import { type RunStatistics, statisticsOf } from "./run_statistics.ts";
import { CLASS_MIX, createRandom, createWorkload } from "./workload.ts";

const POLICIES = "two choices,random,round robin,least reported load";
const SLOW_FACTOR = 4;

const { values } = parseArgs({
  options: {
    seconds: { type: "string", default: "120" },
    seed: { type: "string", default: "1" },
    policies: { type: "string", default: POLICIES },
    loads: { type: "string", default: "50,80,100,150" },
    slow: { type: "string", default: "0,5" },
    strategies: { type: "boolean", default: false },
  },
});

const seed = Number(values.seed);
const durationMs = Number(values.seconds) * 1000;
const strategies = createStrategies(createRandom(seed + 7));

/**
 * Returns the requests per second that fill all slots of engines at normal
 * speed without cached prefixes.
 */
function capacityPerSecond(): number {
  let slotMs = 0;
  for (const mix of CLASS_MIX) {
    const version =
      mix.requestClass === "lookup" || mix.requestClass === "tagging"
        ? "small@1"
        : "middle@1";
    const model = versionModel(version);
    const prefillMs = model.prefillMs * (0.5 + mix.inputTokens * 4 / 8000);
    slotMs += mix.share *
      (prefillMs + mix.outputTokens * model.tokenMs * 1.3);
  }
  return ENGINE_COUNT * SLOT_COUNT * 1000 / slotMs;
}

async function measure(
  loadShare: number,
  fields: Pick<SiteRunOptions, "policy" | "strategy" | "slowEvery">,
): Promise<RunStatistics> {
  const arrivals = createWorkload({
    random: createRandom(seed),
    ratePerSecond: loadShare * capacityPerSecond(),
    durationMs,
    vmCount: VM_COUNT,
  });
  const result = await runSite({
    seed,
    arrivals,
    durationMs,
    slowFactor: SLOW_FACTOR,
    ...fields,
  });
  if (result.records.length !== arrivals.length) {
    throw new Error(
      `${arrivals.length - result.records.length} requests without an outcome`,
    );
  }
  return statisticsOf(result);
}

function row(name: string, statistics: RunStatistics): string {
  const cells = statistics.classes.map((latencies) =>
    `${latencies.firstTokenMs.join("/")} · ${
      latencies.completionMs.join("/")
    } · ${percent(latencies.refusedShare)}`
  );
  return `| ${name} | ${cells.join(" | ")} | ${
    percent(statistics.refusedShare)
  } | ${statistics.attemptsPerRequest.toFixed(3)} | ${
    statistics.priceMicroEurPerAnswer.toFixed(0)
  } | ${statistics.qualityShare.toFixed(3)} |`;
}

function percent(share: number): string {
  return `${(100 * share).toFixed(1)}%`;
}

function parseNumbers(text: string): number[] {
  return text.split(",").map(Number);
}

function strategyAt(index: number): VersionStrategy {
  const strategy = strategies[index];
  if (strategy === undefined) throw new RangeError("no such version strategy");
  return strategy;
}

console.log(
  `capacity ${capacityPerSecond().toFixed(1)}/s, seed ${seed}, ` +
    `${values.seconds} s; each class: first token p50/p95/p99 ms · whole ` +
    "p50/p95/p99 ms · refused",
);
console.log(
  "| run | lookup | tagging | drafting | review | refused | attempts | µ€ | quality |",
);
console.log("|---|---|---|---|---|---|---|---|---|");
for (const slowEvery of parseNumbers(values.slow)) {
  for (const load of parseNumbers(values.loads)) {
    const chosen = values.strategies ? strategies : [strategyAt(0)];
    for (const strategy of chosen) {
      for (const policy of values.policies.split(",")) {
        const statistics = await measure(load / 100, {
          policy,
          strategy,
          slowEvery,
        });
        const name = values.strategies ? strategy.name : policy;
        const slow = slowEvery > 0 ? ", 1 in 5 slow" : "";
        console.log(row(`${load}%${slow}: ${name}`, statistics));
        if (statistics.reasons !== "") console.error(`  ${statistics.reasons}`);
      }
    }
  }
}
process.exit(0);
