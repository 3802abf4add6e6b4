/**
 * Which version answers a request, and which may follow if its answer falls
 * short. The first version is the cheapest whose lower confidence bound meets
 * the target; a roll-out puts its new version in the place of its baseline for
 * the share of keys that it exposes. A session keeps its version, so it has no
 * escalations. Where the settings allow a cascade, a cheaper version may go
 * first if trying it and escalating when it falls short costs less on average;
 * its answer must then be rated before it is relayed.
 */
import { err, ok, type Result } from "neverthrow";
import {
  isUsable,
  notRun,
  type Refusal,
  type RequestClass,
  type Settings,
  type VersionName,
} from "../model/mod.ts";
import { type ControlState } from "../state/mod.ts";
import {
  exposureShareOf,
  isExposed,
  isWithdrawnOrStopped,
} from "./exposure.ts";
import { type LocalStops } from "./local_stops.ts";
import {
  passShareOf,
  type VersionCandidate,
  versionCandidates,
} from "./version_candidate.ts";
import { type QualityTable } from "./quality.ts";

/** The most versions that one request may escalate to. */
export const MAX_ESCALATIONS = 2;
/** Average saving below which a cheaper first attempt is not worth its time. */
export const MIN_CASCADE_SAVING_SHARE = 0.1;

/** What the choice of versions depends on. */
export interface SelectionInput {
  /** Settings resolved at the session's path, or the workspace's. */
  readonly settings: Settings;
  readonly control: ControlState;
  readonly quality: QualityTable;
  readonly localStops: LocalStops;
  readonly requestClass: RequestClass;
  /** The session's path, or the request's id outside sessions. */
  readonly key: string;
  readonly isInSession: boolean;
  /** The version that the session keeps; absent before its first request. */
  readonly pinned: VersionName | undefined;
  /** Whether the rating service has answered lately. */
  readonly isRatingAvailable: boolean;
}

/** The versions that may answer a request, in order. */
export interface VersionPlan {
  readonly first: VersionName;
  readonly escalations: readonly VersionName[];
  /**
   * `required`: the first version is not trusted to meet the target, so a
   * rating that falls short must be followed by an escalation. `optional`:
   * the first version meets the target on average.
   */
  readonly escalation: "none" | "optional" | "required";
  /** Whether the first version's lower bound meets the target. */
  readonly meetsTarget: boolean;
}

/** Chooses the versions of one request; a refusal is `not_run`. */
export function candidateVersions(
  input: SelectionInput,
): Result<VersionPlan, Refusal> {
  if (input.pinned !== undefined) return keepPinned(input, input.pinned);
  const offers = versionCandidates(input);
  const trusted = trustedOffer(offers, input.settings.qualityTargetShare);
  if (trusted === undefined) {
    return err(notRun("no_allowed_version", {
      detail: "the settings of the path allow no usable version",
    }));
  }
  const plan = input.isInSession || input.settings.cascade === "off"
    ? planOf(trusted, input)
    : cascadePlan(input, { offers, trusted });
  return ok(expose(plan, input));
}

/**
 * Whether new work may run on a version now. Asked at dispatch and again at
 * each retry, escalation and resume, with the newest settings and state.
 */
export function mayStart(
  version: VersionName,
  input: Pick<SelectionInput, "settings" | "control" | "localStops">,
): boolean {
  return isUsable(input.settings, version) &&
    !isWithdrawnOrStopped(version, input);
}

function keepPinned(
  input: SelectionInput,
  pinned: VersionName,
): Result<VersionPlan, Refusal> {
  if (!mayStart(pinned, input)) {
    return err(notRun("version_withdrawn", {
      detail: `the session's version ${pinned} receives no new work`,
    }));
  }
  return ok({
    first: pinned,
    escalations: [],
    escalation: "none",
    meetsTarget: true,
  });
}

/** The cheapest offer that meets the target, else the best one. */
function trustedOffer(
  offers: readonly VersionCandidate[],
  targetShare: number,
): VersionCandidate | undefined {
  let best: VersionCandidate | undefined;
  for (const offer of offers) {
    if (offer.estimate.lowerBoundShare >= targetShare) return offer;
    const bestShare = best?.estimate.lowerBoundShare ?? -1;
    if (offer.estimate.lowerBoundShare > bestShare) best = offer;
  }
  return best;
}

function planOf(offer: VersionCandidate, input: SelectionInput): VersionPlan {
  return {
    first: offer.version,
    escalations: [],
    escalation: "none",
    meetsTarget:
      offer.estimate.lowerBoundShare >= input.settings.qualityTargetShare,
  };
}

function cascadePlan(
  input: SelectionInput,
  options: {
    readonly offers: readonly VersionCandidate[];
    readonly trusted: VersionCandidate;
  },
): VersionPlan {
  const { offers, trusted } = options;
  const cheaper = input.isRatingAvailable
    ? cheaperFirst(input, options)
    : undefined;
  if (cheaper !== undefined) {
    return {
      first: cheaper.version,
      escalations: [trusted, ...betterOffers(offers, trusted)]
        .slice(0, MAX_ESCALATIONS).map((offer) => offer.version),
      escalation: "required",
      meetsTarget: false,
    };
  }
  const escalations = betterOffers(offers, trusted)
    .slice(0, MAX_ESCALATIONS).map((offer) => offer.version);
  return {
    ...planOf(trusted, input),
    escalations,
    escalation: escalations.length === 0 ? "none" : "optional",
  };
}

function betterOffers(
  offers: readonly VersionCandidate[],
  than: VersionCandidate,
): VersionCandidate[] {
  const better: VersionCandidate[] = [];
  let lowerShare = than.estimate.lowerBoundShare;
  for (const offer of offers) {
    if (offer.estimate.lowerBoundShare <= lowerShare) continue;
    if (offer.priceMicroEur < than.priceMicroEur) continue;
    better.push(offer);
    lowerShare = offer.estimate.lowerBoundShare;
  }
  return better;
}

function cheaperFirst(
  input: SelectionInput,
  options: {
    readonly offers: readonly VersionCandidate[];
    readonly trusted: VersionCandidate;
  },
): VersionCandidate | undefined {
  const { offers, trusted } = options;
  let best: VersionCandidate | undefined;
  let bestCost = trusted.priceMicroEur * (1 - MIN_CASCADE_SAVING_SHARE);
  for (const offer of offers) {
    if (offer.priceMicroEur >= trusted.priceMicroEur) break;
    const passShare = passShareOf(
      offer.estimate,
      input.settings.qualityTargetShare,
    );
    const cost = offer.priceMicroEur + (1 - passShare) * trusted.priceMicroEur;
    if (cost >= bestCost) continue;
    best = offer;
    bestCost = cost;
  }
  return best;
}

/** Puts each exposing roll-out's new version in the place of its baseline. */
function expose(plan: VersionPlan, input: SelectionInput): VersionPlan {
  const replace = (version: VersionName): VersionName =>
    replacementOf(version, input);
  const first = replace(plan.first);
  const escalations = plan.escalations.map(replace)
    .filter((version) => version !== first);
  return {
    ...plan,
    first,
    escalations,
    escalation: escalations.length === 0 ? "none" : plan.escalation,
  };
}

function replacementOf(
  version: VersionName,
  input: SelectionInput,
): VersionName {
  for (const plan of input.settings.rollouts) {
    if (plan.baseline !== version || !mayStart(plan.version, input)) continue;
    const progress = input.control.rollouts.get(plan.name);
    const exposureShare = exposureShareOf(plan, progress);
    if (isExposed(plan, { key: input.key, exposureShare })) {
      return plan.version;
    }
  }
  return version;
}
