/**
 * The simulated deployment: places, VMs and network delays, and the versions
 * with their prices, speeds and actual quality.
 */
import {
  type NodeSettings,
  type RequestClass,
  type VersionName,
  type Vm,
} from "../../src/model/mod.ts";

/** The places, one in each region. */
export const PLACES = ["dub-a", "cork-a", "gal-a"] as const;
/** One-way delay between regions. */
export const REGION_DELAY_MS = 12;
/** One-way delay within a place. */
export const LOCAL_DELAY_MS = 0.5;
/** Number of entry VMs. */
export const VM_COUNT = 8;
/** Number of engines of the model service. */
export const ENGINE_COUNT = 13;
/** Number of requests that one engine runs concurrently. */
export const SLOT_COUNT = 8;
/** Price of a megabyte sent between regions. */
export const EGRESS_MICRO_EUR_PER_MB = 100;

/** Price, speed and quality of a version. */
export interface VersionModel {
  readonly version: VersionName;
  readonly priceMicroEurPerMTok: number;
  readonly prefillMs: number;
  readonly tokenMs: number;
  /** Mean score by request class. */
  readonly qualityShare: Readonly<Record<RequestClass, number>>;
}

/** The versions, cheapest first. */
export const VERSIONS: readonly VersionModel[] = [
  {
    version: "small@1",
    priceMicroEurPerMTok: 200_000,
    prefillMs: 60,
    tokenMs: 5,
    qualityShare: { lookup: 0.86, tagging: 0.84, drafting: 0.62, review: 0.55 },
  },
  {
    version: "middle@1",
    priceMicroEurPerMTok: 1_000_000,
    prefillMs: 120,
    tokenMs: 9,
    qualityShare: { lookup: 0.92, tagging: 0.9, drafting: 0.83, review: 0.78 },
  },
  {
    version: "large@1",
    priceMicroEurPerMTok: 4_000_000,
    prefillMs: 250,
    tokenMs: 16,
    qualityShare: { lookup: 0.95, tagging: 0.94, drafting: 0.92, review: 0.9 },
  },
];

/** Returns the model of a version; throws RangeError if there is none. */
export function versionModel(version: VersionName): VersionModel {
  const model = VERSIONS.find((candidate) => candidate.version === version);
  if (model === undefined) throw new RangeError(`no version ${version}`);
  return model;
}

/** Returns the settings of the root of the settings tree. */
export function rootSettings(): NodeSettings {
  return {
    allowed: VERSIONS.map((model) => model.version),
    qualityTargetShare: 0.75,
    maxConcurrent: 100_000,
    maxTokensPerSecond: 100_000_000,
    egressPriceMicroEurPerMb: EGRESS_MICRO_EUR_PER_MB,
    catalogue: VERSIONS.map((model) => ({
      version: model.version,
      inputPriceMicroEurPerMTok: model.priceMicroEurPerMTok,
      outputPriceMicroEurPerMTok: model.priceMicroEurPerMTok,
      memoryMb: 1000,
      priorQualityShare: model.qualityShare.drafting,
    })),
  };
}

/** Returns the VM list of the deployment. */
export function siteVms(): Vm[] {
  const vms: Vm[] = [];
  for (let index = 0; index < VM_COUNT; index += 1) {
    vms.push(vmOf(`entry-${index}`, "entry", index));
  }
  for (let index = 0; index < ENGINE_COUNT; index += 1) {
    vms.push(vmOf(`engine-${index}`, "engine", index));
  }
  return vms;
}

/** Returns the place of the VM of this index within its kind. */
export function placeOf(index: number): string {
  return PLACES[index % PLACES.length] ?? PLACES[0];
}

/** Returns the one-way network delay between two places. */
export function delayMsBetween(from: string, to: string): number {
  return from === to ? LOCAL_DELAY_MS : REGION_DELAY_MS;
}

function vmOf(vm: string, kind: Vm["kind"], index: number): Vm {
  return {
    vm,
    kind,
    service: kind === "engine" ? "models" : "",
    place: placeOf(index),
    address: `${vm}:80`,
    peerAddress: "",
    status: "live",
  };
}
