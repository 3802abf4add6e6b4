/**
 * Measures the processor time of a request and of a token on an entry VM: the
 * HTTP interface for callers, the filter chain and an in-memory journal, in
 * front of an engine in the same process that answers immediately.
 *
 * Usage: node dist/bench/policies/request_cost.js
 */
import process from "node:process";
import { err, ok, type Result } from "neverthrow";
import {
  createHttpApp,
  createRequestHandler,
  DEFAULT_FILTER_LIMITS,
} from "../../src/filter/mod.ts";
import {
  type AnswerFrame,
  noMetrics,
  notRun,
  ROOT_PATH,
  silentLogger,
} from "../../src/model/mod.ts";
import {
  type EngineError,
  type EngineTransport,
  type GenerateCall,
  MemoryJournal,
  MemoryLog,
  ServerDirectory,
} from "../../src/client/mod.ts";
import { processEffects } from "../../src/client/effects.ts";
import { rootSettings, siteVms } from "./site.ts";

const REQUEST_COUNT = 1000;
const TOKEN_COUNTS = [1, 100];
const US_PER_SECOND = 1_000_000;

class InstantEngines implements EngineTransport {
  tokenCount = 1;

  generate(
    call: GenerateCall,
  ): ReturnType<EngineTransport["generate"]> {
    const frames = this.#frames(call);
    return Promise.resolve(ok({ report: undefined, frames }));
  }

  cancel(): Promise<undefined> {
    return Promise.resolve(undefined);
  }

  async *#frames(
    call: GenerateCall,
  ): AsyncGenerator<Result<AnswerFrame, EngineError>> {
    const { requestId, attempt } = call;
    for (let index = 0; index < this.tokenCount; index += 1) {
      await Promise.resolve();
      const isLast = index === this.tokenCount - 1;
      const usage = isLast
        ? { inputTokens: 10, outputTokens: this.tokenCount }
        : undefined;
      yield ok({ requestId, attempt, index, text: "word ", isLast, usage });
    }
  }
}

function createApp(
  engines: EngineTransport,
): ReturnType<typeof createHttpApp> {
  const log = new MemoryLog();
  log.push({
    id: "root",
    kind: "edit",
    path: ROOT_PATH,
    change: { set: rootSettings(), clear: [] },
    base: 0,
    author: "bench",
    note: "",
  });
  const vms = siteVms();
  const directory = new ServerDirectory({
    self: "entry-0",
    source: { vms: () => vms, ageMs: () => 0 },
    places: ["dub-a", "cork-a", "gal-a"],
    clock: processEffects.clock,
    drains: () => ({ places: [], servers: [] }),
    priorFirstTokenMs: 200,
    priorServiceMs: 2000,
  });
  directory.views("models", "");
  for (const vm of vms) {
    directory.recordReport(vm.vm, {
      server: vm.vm,
      sequence: 1,
      versions: [{ version: "small@1", state: "loaded", adapters: [] }],
      runningCount: 0,
      queuedCount: 0,
      slotCount: 8,
      memoryMb: 0,
      usedMemoryMb: 0,
      role: "both",
      isLeaving: false,
    });
  }
  let idCount = 0;
  const handler = createRequestHandler({
    self: "entry-0",
    journal: new MemoryJournal(log),
    directory,
    engines,
    services: { call: () => Promise.reject(new Error("no service")) },
    chooseVersions: ({ settings }) => {
      const first = settings.allowed[0];
      if (first === undefined) {
        return err(notRun("no_allowed_version", { detail: "none" }));
      }
      return ok({
        first,
        escalations: [],
        escalation: "none",
        meetsTarget: true,
      });
    },
    mayStart: () => true,
    shouldEscalate: () => Promise.resolve(false),
    mayEscalate: () => false,
    onAnswer: () => {},
    holdAtPeer: () => Promise.resolve(false),
    tokenOf: () => undefined,
    tokenKeys: ["key"],
    distanceTo: () => ({ delayMs: 1, egressMicroEurPerMb: 0 }),
    runningLimit: () => 64,
    ...processEffects,
    makeId: () => `id-${idCount++}`,
    logger: silentLogger,
    metrics: noMetrics,
    limits: DEFAULT_FILTER_LIMITS,
  });
  return createHttpApp({
    handler,
    listEntries: () => ({ entries: [], maxAgeMs: 1000 }),
    isReady: () => true,
    adminRoutes: [],
    isOperator: () => false,
    logger: silentLogger,
  });
}

/** Returns the processor time of one request in microseconds. */
async function costUs(tokenCount: number): Promise<number> {
  const engines = new InstantEngines();
  engines.tokenCount = tokenCount;
  const app = createApp(engines);
  const body = JSON.stringify({
    messages: [{ role: "user", content: "x".repeat(800) }],
    stream: true,
  });
  const sendRequest = async (): Promise<void> => {
    const response = await app.request("/v1/chat/completions", {
      method: "POST",
      headers: { "goldcrest-workspace": "/leinster/w-1" },
      body,
    });
    const text = await response.text();
    if (!text.includes("[DONE]")) throw new Error("incomplete answer");
  };
  for (let count = 0; count < REQUEST_COUNT; count += 1) await sendRequest();
  const startUsage = process.cpuUsage();
  for (let count = 0; count < REQUEST_COUNT; count += 1) await sendRequest();
  const usage = process.cpuUsage(startUsage);
  return (usage.user + usage.system) / REQUEST_COUNT;
}

const [shortUs = 0, longUs = 0] = [
  await costUs(TOKEN_COUNTS[0] ?? 1),
  await costUs(TOKEN_COUNTS[1] ?? 1),
];
const tokenUs = (longUs - shortUs) / 99;
console.log(`request of 1 token: ${shortUs.toFixed(0)} us`);
console.log(`each further token: ${tokenUs.toFixed(1)} us`);
console.log(
  `one core: ${(US_PER_SECOND / (shortUs + 319 * tokenUs)).toFixed(0)} ` +
    "requests a second of 320 tokens",
);
process.exit(0);
