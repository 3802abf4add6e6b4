/**
 * One run of a simulated deployment in virtual time: the actual request
 * handlers, one per entry VM, in front of engine models.
 */
import {
  createRequestHandler,
  DEFAULT_FILTER_LIMITS,
  type RequestHandler,
} from "../../src/filter/mod.ts";
import {
  noMetrics,
  type RefusalOutcome,
  type RequestClass,
  ROOT_PATH,
  silentLogger,
  type VersionName,
  type Vm,
} from "../../src/model/mod.ts";
import {
  MemoryJournal,
  MemoryLog,
  runLoadPoller,
  ServerDirectory,
} from "../../src/client/mod.ts";
import { EngineModel } from "./engine_model.ts";
import { policyOf } from "./route_policies.ts";
import { SimulatedEngines } from "./simulated_engines.ts";
import {
  delayMsBetween,
  EGRESS_MICRO_EUR_PER_MB,
  placeOf,
  PLACES,
  rootSettings,
  siteVms,
  SLOT_COUNT,
  VERSIONS,
  VM_COUNT,
} from "./site.ts";
import { createRater, type VersionStrategy } from "./strategies.ts";
import { TimingSink } from "./timing_sink.ts";
import { VirtualTime } from "./virtual_time.ts";
import { type Arrival, createRandom } from "./workload.ts";

export interface SiteRunOptions {
  readonly seed: number;
  readonly arrivals: readonly Arrival[];
  readonly policy: string;
  readonly strategy: VersionStrategy;
  /** Makes every n-th engine slow; 0 for none. */
  readonly slowEvery: number;
  readonly slowFactor: number;
  readonly durationMs: number;
}

/** Outcome and latencies of one request. */
export interface RequestRecord {
  readonly requestClass: RequestClass;
  readonly isInSession: boolean;
  readonly version: VersionName | undefined;
  readonly firstTokenMs: number | undefined;
  readonly completionMs: number;
  readonly refusal: { reason: string; outcome: RefusalOutcome } | undefined;
}

export interface SiteRunResult {
  readonly records: readonly RequestRecord[];
  readonly attemptCount: number;
  readonly priceMicroEur: number;
}

const QUEUE_LIMIT = 16;
const APPEND_DELAY_MS = 4;
const POLL_PERIOD_MS = 500;
const REPORT_AGE_MS = 1000;
const MAX_POLLS_PER_PERIOD = 8;
const DRAIN_TIMEOUT_MS = 700_000;

/** Runs a deployment and returns the outcome of every request. */
export async function runSite(options: SiteRunOptions): Promise<SiteRunResult> {
  const site = new SimulatedSite(options);
  return await site.run();
}

class SimulatedSite {
  readonly #options: SiteRunOptions;
  readonly #time = new VirtualTime();
  readonly #log = new MemoryLog();
  readonly #vms: readonly Vm[] = siteVms();
  readonly #engines = new Map<string, EngineModel>();
  readonly #transports: SimulatedEngines[] = [];
  readonly #records: RequestRecord[] = [];

  constructor(options: SiteRunOptions) {
    this.#options = options;
    this.#log.beforeAppend = () => this.#time.sleep(APPEND_DELAY_MS);
    this.#log.push({
      id: "root",
      kind: "edit",
      path: ROOT_PATH,
      change: { set: rootSettings(), clear: [] },
      base: 0,
      author: "bench",
      note: "",
    });
    let index = 0;
    for (const vm of this.#vms) {
      if (vm.kind !== "engine") continue;
      const { slowEvery, slowFactor } = options;
      const isSlow = slowEvery > 0 && index % slowEvery === 0;
      this.#engines.set(
        vm.address,
        this.#createEngine(vm, isSlow ? slowFactor : 1),
      );
      index += 1;
    }
  }

  async run(): Promise<SiteRunResult> {
    const stop = new AbortController();
    const handlers: RequestHandler[] = [];
    for (let index = 0; index < VM_COUNT; index += 1) {
      handlers.push(this.#createEntry(index, stop.signal));
    }
    for (const arrival of this.#options.arrivals) {
      const handler = handlers[arrival.vmIndex];
      if (handler === undefined) continue;
      this.#time.at(arrival.atMs, () => void this.#send(handler, arrival));
    }
    await this.#time.runUntil(this.#options.durationMs);
    const endMs = this.#options.durationMs + DRAIN_TIMEOUT_MS;
    while (
      this.#records.length < this.#options.arrivals.length &&
      this.#time.clock() < endMs
    ) {
      await this.#time.runUntil(this.#time.clock() + 1000);
    }
    stop.abort();
    return this.#result();
  }

  #result(): SiteRunResult {
    let attemptCount = 0;
    for (const one of this.#transports) attemptCount += one.attemptCount;
    let priceMicroEur = 0;
    for (const record of this.#log.records) {
      if (record.kind === "bill") priceMicroEur += record.priceMicroEur;
    }
    return { records: this.#records, attemptCount, priceMicroEur };
  }

  async #send(handler: RequestHandler, arrival: Arrival): Promise<void> {
    const { request } = arrival;
    const sink = new TimingSink(this.#time);
    const result = await handler.handle(
      { request, bearer: undefined, sessionToken: undefined },
      { sink, callerSignal: new AbortController().signal },
    );
    this.#records.push({
      requestClass: request.requestClass,
      isInSession: request.session !== undefined,
      version: sink.version,
      firstTokenMs: sink.firstFrameAtMs === undefined
        ? undefined
        : sink.firstFrameAtMs - arrival.atMs,
      completionMs: this.#time.clock() - arrival.atMs,
      refusal: result.isErr()
        ? { reason: result.error.reason, outcome: result.error.outcome }
        : undefined,
    });
  }

  #createEngine(vm: Vm, slowFactor: number): EngineModel {
    return new EngineModel({
      time: this.#time,
      name: vm.vm,
      versions: VERSIONS.map((model) => model.version),
      slotCount: SLOT_COUNT,
      queueLimit: QUEUE_LIMIT,
      slowFactor,
    });
  }

  #createEntry(index: number, stop: AbortSignal): RequestHandler {
    const { seed, strategy, policy } = this.#options;
    const place = placeOf(index);
    const random = createRandom(seed * 1000 + index);
    const directory = this.#createDirectory(index, place);
    const engines = new SimulatedEngines({
      time: this.#time,
      engineAt: (address) => this.#engineAt(address),
      delayMsTo: (address) => delayMsBetween(place, this.#placeAt(address)),
    });
    this.#transports.push(engines);
    let idCount = 0;
    const limits = DEFAULT_FILTER_LIMITS;
    void runLoadPoller({
      directory,
      fetchReport: async (vm) => {
        await this.#time.sleep(2 * delayMsBetween(place, vm.place));
        return this.#engineAt(vm.address).publishedReport;
      },
      sleep: this.#time.sleep,
      periodMs: POLL_PERIOD_MS,
      reportAgeMs: REPORT_AGE_MS,
      maxPollsPerPeriod: MAX_POLLS_PER_PERIOD,
    }, stop);
    return createRequestHandler({
      self: `entry-${index}`,
      journal: new MemoryJournal(this.#log),
      directory,
      engines,
      services: { call: () => Promise.reject(new Error("no service")) },
      chooseVersions: strategy.choose,
      mayStart: () => true,
      shouldEscalate: createRater(random),
      mayEscalate: () => true,
      onAnswer: () => {},
      holdAtPeer: () => Promise.resolve(false),
      tokenOf: () => undefined,
      tokenKeys: [],
      distanceTo: (to) => ({
        delayMs: delayMsBetween(place, to),
        egressMicroEurPerMb: place === to ? 0 : EGRESS_MICRO_EUR_PER_MB,
      }),
      runningLimit: () => runningLimit(directory),
      routePolicy: policyOf(policy),
      clock: this.#time.clock,
      sleep: this.#time.sleep,
      random,
      makeId: () => `id-${index}-${idCount++}`,
      logger: silentLogger,
      metrics: noMetrics,
      limits,
    });
  }

  #createDirectory(index: number, place: string): ServerDirectory {
    const otherPlaces = PLACES.filter((other) => other !== place);
    const directory = new ServerDirectory({
      self: `entry-${index}`,
      source: { vms: () => this.#vms, ageMs: () => 0 },
      places: [place, ...otherPlaces],
      clock: this.#time.clock,
      drains: () => ({ places: [], servers: [] }),
      priorFirstTokenMs: 200,
      priorServiceMs: 2000,
    });
    directory.views("models", "");
    for (const vm of this.#vms) {
      if (vm.kind !== "engine") continue;
      directory.recordReport(vm.vm, this.#engineAt(vm.address).publishedReport);
    }
    return directory;
  }

  #engineAt(address: string): EngineModel {
    const engine = this.#engines.get(address);
    if (engine === undefined) throw new RangeError(`no engine at ${address}`);
    return engine;
  }

  #placeAt(address: string): string {
    return this.#vms.find((vm) => vm.address === address)?.place ?? "";
  }
}

/**
 * Returns one VM's limit of running requests: its share of the slots in its
 * directory, with 30 % spare capacity for uneven arrivals, at least 8.
 */
function runningLimit(directory: ServerDirectory): number {
  return Math.max(8, Math.ceil(1.3 * directory.slotCount("models") / VM_COUNT));
}
