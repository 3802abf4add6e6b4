/**
 * Runs the platform and the backend servers of one deployment as stand-ins in
 * this process, with a proxy for every link from a place to a backend server.
 * The proxies add the network delays of the site plan.
 */
import { type Vm } from "../src/model/mod.ts";
import {
  createEngine,
  createLog,
  createPlainService,
  createRating,
  createVmList,
  createWeightStore,
  type EngineStandin,
  type LogStandin,
  type PlainServiceStandin,
  type RatingStandin,
  type Standin,
  type VmListStandin,
  type WeightStoreStandin,
} from "../standin/mod.ts";
import { FaultProxy } from "./proxy.ts";
import { type SitePlan } from "./site_plan.ts";

/** One in this many cache events is lost. */
const CACHE_EVENT_GAP_EVERY = 7;
const REPORT_LAG_MS = 200;
const VERSION_SIZE_MB = 16_000;

/** Options for starting a site. */
export interface SiteOptions {
  readonly plan: SitePlan;
  readonly seed: number;
  readonly appendsPerSecond?: number;
}

/** A backend server with its place and its own address. */
interface Backend {
  readonly vm: string;
  readonly kind: "engine" | "service";
  readonly service: string;
  readonly place: string;
  readonly address: string;
}

/** Addresses of the platform's services. */
export interface PlatformAddresses {
  readonly logUrl: string;
  readonly vmListUrl: string;
  readonly ratingUrl: string;
  readonly weightStoreUrl: string;
}

/** The running stand-ins and links of a deployment. */
export class Site {
  readonly plan: SitePlan;
  readonly log: LogStandin;
  readonly rating: RatingStandin;
  readonly weights: WeightStoreStandin;
  readonly engines: EngineStandin[] = [];
  readonly services: PlainServiceStandin[] = [];
  /** Proxies by `place>server`. */
  readonly links = new Map<string, FaultProxy>();
  readonly #lists = new Map<string, VmListStandin>();
  readonly #listAddresses = new Map<string, string>();
  readonly #backends: Backend[] = [];
  readonly #addresses = new Map<string, string>();
  readonly #leaving = new Set<string>();
  #entries: ReadonlyMap<string, readonly Vm[]> = new Map();
  #ratingAddress = "";
  #weightsAddress = "";
  #logAddress = "";

  private constructor(options: SiteOptions) {
    this.plan = options.plan;
    this.log = createLog({ appendsPerSecond: options.appendsPerSecond ?? 400 });
    this.rating = createRating({
      qualityShares: options.plan.qualityShares,
      seed: options.seed,
    });
    const names = Object.keys(options.plan.qualityShares);
    this.weights = createWeightStore({
      sizesMb: Object.fromEntries(
        names.map((name) => [name, VERSION_SIZE_MB]),
      ),
    });
  }

  /** Starts all stand-ins and the links to them. */
  static async start(options: SiteOptions): Promise<Site> {
    const site = new Site(options);
    site.#logAddress = await site.log.listen();
    site.#ratingAddress = await site.rating.listen();
    site.#weightsAddress = await site.weights.listen();
    await site.#startEngines();
    await site.#startServices();
    for (const { place } of options.plan.places) await site.#startPlace(place);
    return site;
  }

  /** Returns the platform addresses for the settings of a VM in `place`. */
  platformOf(place: string, logAddress: string): PlatformAddresses {
    return {
      logUrl: `http://${logAddress}`,
      vmListUrl: `http://${this.#listAddresses.get(place) ?? ""}`,
      ratingUrl: `http://${this.#ratingAddress}`,
      weightStoreUrl: `http://${this.#weightsAddress}`,
    };
  }

  /** The address of the log without a proxy. */
  get logAddress(): string {
    return this.#logAddress;
  }

  /** Returns the one-way delay between two places. */
  delayMs(from: string, to: string): number {
    return from === to ? this.plan.placeDelayMs : this.plan.regionDelayMs;
  }

  /** Returns the place of a backend server, or "" if it is unknown. */
  placeOf(server: string): string {
    return this.#backends.find((one) => one.vm === server)?.place ?? "";
  }

  /** Sets the entry VMs on the VM list of each place, keyed by place. */
  setEntries(entries: ReadonlyMap<string, readonly Vm[]>): void {
    this.#entries = entries;
    for (const place of this.#lists.keys()) this.#publish(place);
  }

  /** Marks a backend server as leaving, at the server and on the VM lists. */
  markLeaving(server: string): void {
    this.#leaving.add(server);
    for (const one of [...this.engines, ...this.services]) {
      if (one.server === server) one.switches.isLeaving = true;
    }
    for (const place of this.#lists.keys()) this.#publish(place);
  }

  /** Marks a backend server as leaving on the VM lists only. */
  listAsLeaving(server: string): void {
    this.#leaving.add(server);
    for (const place of this.#lists.keys()) this.#publish(place);
  }

  async close(): Promise<void> {
    const standins: Standin[] = [
      this.log,
      this.rating,
      this.weights,
      ...this.engines,
      ...this.services,
      ...this.#lists.values(),
    ];
    await Promise.all([...this.links.values()].map((link) => link.close()));
    await Promise.all(standins.map((standin) => standin.close()));
  }

  async #startEngines(): Promise<void> {
    for (const [group, planned] of this.plan.engines.entries()) {
      for (let index = 0; index < planned.count; index += 1) {
        const vm = `engine-${planned.place}-${group}-${index}`;
        const engine = createEngine({
          server: vm,
          versions: planned.versions,
          slotCount: planned.slotCount,
          tokenMs: planned.tokenMs,
          checksFence: group % 2 === 0,
          reportLagMs: REPORT_LAG_MS,
          cacheEventGapEvery: CACHE_EVENT_GAP_EVERY,
        });
        this.engines.push(engine);
        this.#backends.push({
          vm,
          kind: "engine",
          service: this.plan.modelService,
          place: planned.place,
          address: await engine.listen(),
        });
      }
    }
  }

  async #startServices(): Promise<void> {
    for (const { service, place, count } of this.plan.services) {
      for (let index = 0; index < count; index += 1) {
        const vm = `${service}-${place}-${index}`;
        const standin = createPlainService({ server: vm });
        this.services.push(standin);
        const address = await standin.listen();
        this.#backends.push({ vm, kind: "service", service, place, address });
      }
    }
  }

  async #startPlace(place: string): Promise<void> {
    for (const backend of this.#backends) {
      const link = new FaultProxy({
        target: backend.address,
        delayMs: this.delayMs(place, backend.place),
      });
      this.links.set(`${place}>${backend.vm}`, link);
      this.#addresses.set(`${place}>${backend.vm}`, await link.listen());
    }
    const list = createVmList();
    this.#lists.set(place, list);
    this.#listAddresses.set(place, await list.listen());
    this.#publish(place);
  }

  #publish(place: string): void {
    const backends = this.#backends.map((backend): Vm => ({
      ...backend,
      address: this.#addresses.get(`${place}>${backend.vm}`) ?? "",
      peerAddress: "",
      status: this.#leaving.has(backend.vm) ? "leaving" : "live",
    }));
    const entries = this.#entries.get(place) ?? [];
    this.#lists.get(place)?.set([...entries, ...backends]);
  }
}
