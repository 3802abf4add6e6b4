/**
 * The versions that a request could run on, with price and estimated quality.
 * The new version of a roll-out is no candidate itself; requests reach it only
 * as a replacement of the baseline. It becomes a candidate if the roll-out is
 * complete and the baseline is no longer usable.
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

/** Size of the request for which the prices of versions are compared. */
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

/** Inputs of the list of candidates. */
export interface VersionCandidateInput {
  readonly settings: Settings;
  readonly control: ControlState;
  readonly quality: QualityTable;
  readonly localStops: LocalStops;
  readonly requestClass: RequestClass;
}

/** Returns the candidates for a request, cheapest first. */
export function versionCandidates(
  input: VersionCandidateInput,
): VersionCandidate[] {
  const candidates: VersionCandidate[] = [];
  for (const version of usableVersions(input.settings)) {
    if (isWithdrawnOrStopped(version, input)) continue;
    if (isRollingOut(version, input)) continue;
    candidates.push({
      version,
      priceMicroEur: typicalPriceOf(input.settings, version),
      estimate: input.quality.estimateOf(version, input),
    });
  }
  return candidates.sort((a, b) =>
    a.priceMicroEur - b.priceMicroEur || (a.version < b.version ? -1 : 1)
  );
}

/** Price of a request of typical size; the maximum for unlisted versions. */
export function typicalPriceOf(
  settings: Settings,
  version: VersionName,
): number {
  const entry = settings.catalogue.find((item) => item.version === version);
  return entry === undefined ? Number.MAX_SAFE_INTEGER : typicalPrice(entry);
}

/**
 * Expected share of answers that meet the target without an escalation, from a
 * normal distribution with the estimated mean and deviation of the scores.
 */
export function passShareOf(
  estimate: QualityEstimate,
  targetShare: number,
): number {
  if (estimate.deviationShare === 0) {
    return estimate.meanShare >= targetShare ? 1 : 0;
  }
  const z = (estimate.meanShare - targetShare) / estimate.deviationShare;
  return normalCdf(z);
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
    if (plan.version === version && !isOwnCandidate(plan, input)) return true;
  }
  return false;
}

function isOwnCandidate(
  plan: RolloutPlan,
  input: VersionCandidateInput,
): boolean {
  const progress = input.control.rollouts.get(plan.name);
  if (progress?.step.verdict !== "complete") return false;
  return !usableVersions(input.settings).includes(plan.baseline);
}

/** Cumulative normal distribution, logistic approximation; error < 0.01. */
function normalCdf(z: number): number {
  return 1 / (1 + Math.exp(-1.702 * z));
}
