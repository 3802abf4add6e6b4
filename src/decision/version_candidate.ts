/**
 * Offers: the versions that a request could run on, with price and quality. A
 * version that is being rolled out is no offer of its own; it is reached only
 * in the place of its baseline. If the baseline itself can no longer be used,
 * the new version is offered where the roll-out is complete.
 */
import {
  type CatalogueEntry,
  type RequestClass,
  type RolloutPlan,
  type Settings,
  usableVersions,
  type VersionName,
} from "../model/mod.ts";
import { type ControlState } from "../state/mod.ts";
import { isWithdrawnOrStopped } from "./exposure.ts";
import { type LocalStops } from "./local_stops.ts";
import { type QualityEstimate, type QualityTable } from "./quality.ts";

/** Tokens of the request by which versions are compared on price. */
const TYPICAL_INPUT_TOKENS = 1000;
const TYPICAL_OUTPUT_TOKENS = 300;
const TOKENS_PER_MTOK = 1_000_000;

/** One version that a request could run on. */
export interface VersionCandidate {
  readonly version: VersionName;
  /** Price of a request of typical size. */
  readonly priceMicroEur: number;
  readonly estimate: QualityEstimate;
}

/** What the list of offers depends on. */
export interface VersionCandidateInput {
  readonly settings: Settings;
  readonly control: ControlState;
  readonly quality: QualityTable;
  readonly localStops: LocalStops;
  readonly requestClass: RequestClass;
}

/** The offers for a request, cheapest first. */
export function versionCandidates(
  input: VersionCandidateInput,
): VersionCandidate[] {
  const offers: VersionCandidate[] = [];
  for (const version of usableVersions(input.settings)) {
    if (isWithdrawnOrStopped(version, input)) continue;
    if (isRollingOut(version, input)) continue;
    offers.push({
      version,
      priceMicroEur: typicalPriceOf(input.settings, version),
      estimate: input.quality.estimateOf(version, input),
    });
  }
  return offers.sort((a, b) =>
    a.priceMicroEur - b.priceMicroEur || (a.version < b.version ? -1 : 1)
  );
}

/** Price of a request of typical size; unlisted versions come last. */
export function typicalPriceOf(
  settings: Settings,
  version: VersionName,
): number {
  const entry = settings.catalogue.find((item) => item.version === version);
  return entry === undefined ? Number.MAX_SAFE_INTEGER : typicalPrice(entry);
}

/**
 * The share of answers that meet the target by themselves, from the mean and
 * deviation of the scores taken as normal.
 */
export function passShareOf(
  figure: QualityEstimate,
  targetShare: number,
): number {
  if (figure.deviationShare === 0) {
    return figure.meanShare >= targetShare ? 1 : 0;
  }
  const z = (figure.meanShare - targetShare) / figure.deviationShare;
  return normalShareBelow(z);
}

function typicalPrice(entry: CatalogueEntry): number {
  const input = entry.inputPriceMicroEurPerMTok * TYPICAL_INPUT_TOKENS;
  const output = entry.outputPriceMicroEurPerMTok * TYPICAL_OUTPUT_TOKENS;
  return (input + output) / TOKENS_PER_MTOK;
}

function isRollingOut(
  version: VersionName,
  input: VersionCandidateInput,
): boolean {
  for (const plan of input.settings.rollouts) {
    if (plan.version === version && !isOnOffer(plan, input)) return true;
  }
  return false;
}

function isOnOffer(plan: RolloutPlan, input: VersionCandidateInput): boolean {
  const progress = input.control.rollouts.get(plan.name);
  if (progress?.step.verdict !== "complete") return false;
  return !usableVersions(input.settings).includes(plan.baseline);
}

/** Logistic approximation of the normal distribution; error below 0.01. */
function normalShareBelow(z: number): number {
  return 1 / (1 + Math.exp(-1.702 * z));
}
