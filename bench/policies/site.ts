/**
 * The site of a run: places, engines and their distances, and the versions with
 * their prices, speeds and true quality.
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
/** Entry VMs of the site. */
export const VM_COUNT = 8;
/** Workers of the model service. */
export const ENGINE_COUNT = 13;
/** Requests that one worker runs at once. */
export const SLOT_COUNT = 8;
/** Price of a megabyte between regions. */
export const EGRESS_MICRO_EUR_PER_MB = 100;

/** How a version behaves. */
export interface VersionModel {
  readonly version: VersionName;
  readonly priceMicroEurPerMTok: number;
  readonly prefillMs: number;
  readonly tokenMs: number;
  /** Mean score by class. */
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

/** The version model of a name. */
export function versionModel(version: VersionName): VersionModel {
  const found = VERSIONS.find((one) => one.version === version);
  if (found === undefined) throw new RangeError(`no version ${version}`);
  return found;
}

/** The settings of the site's root. */
export function rootSettings(): NodeSettings {
  return {
    allowed: VERSIONS.map((one) => one.version),
    qualityTargetShare: 0.75,
    maxConcurrent: 100_000,
    maxTokensPerSecond: 100_000_000,
    egressPriceMicroEurPerMb: EGRESS_MICRO_EUR_PER_MB,
    catalogue: VERSIONS.map((one) => ({
      version: one.version,
      inputPriceMicroEurPerMTok: one.priceMicroEurPerMTok,
      outputPriceMicroEurPerMTok: one.priceMicroEurPerMTok,
      memoryMb: 1000,
      priorQualityShare: one.qualityShare.drafting,
    })),
  };
}

/** The VM list of the site. */
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

/** The place of the index-th of a kind. */
export function placeOf(index: number): string {
  return PLACES[index % PLACES.length] ?? PLACES[0];
}

/** One-way delay between places. */
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
