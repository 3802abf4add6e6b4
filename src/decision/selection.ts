/**
 * Chooses the version that answers a request, and the versions to escalate to
 * if the answer is below the quality target. The first version is the cheapest
 * whose lower confidence bound meets the target. A roll-out replaces its
 * baseline by its new version for the share of keys that it exposes. A session
 * stays on one version, so it has no escalations. If the settings allow a
 * cascade, a cheaper version may run first where its cost plus that of the
 * expected escalations is lower; its answer must be rated before it is relayed.
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

/** Maximum number of versions that one request may escalate to. */
export const MAX_ESCALATIONS = 2;
/** Minimum expected saving that justifies a cheaper first attempt's time. */
export const MIN_CASCADE_SAVING_SHARE = 0.1;

/** Inputs of the choice of versions. */
export interface SelectionInput {
  /** Settings resolved at the path of the session, or of the workspace. */
  readonly settings: Settings;
  readonly control: ControlState;
  readonly quality: QualityTable;
  readonly localStops: LocalStops;
  readonly requestClass: RequestClass;
  /** The session's path, or the request's id outside sessions. */
  readonly key: string;
  readonly isInSession: boolean;
  /** The session's pinned version; absent before its first request. */
  readonly pinned: VersionName | undefined;
  /** Whether the rating service has answered recently. */
  readonly isRatingAvailable: boolean;
}

/** The versions that may answer a request, in order. */
export interface VersionPlan {
  readonly first: VersionName;
  readonly escalations: readonly VersionName[];
  /**
   * `required`: the first version is not trusted to meet the target, so a
   * missing rating or one below the target must be followed by an escalation.
   * `optional`: the first version, or the baseline that it replaces, is trusted
   * to meet the target.
   */
  readonly escalation: "none" | "optional" | "required";
  /** Whether the first version's lower bound meets the target. */
  readonly meetsTarget: boolean;
}

/** Chooses the versions of one request, or refuses it as `not_run`. */
export function planVersions(
  input: SelectionInput,
): Result<VersionPlan, Refusal> {
  if (input.pinned !== undefined) return pinnedPlan(input, input.pinned);
  const candidates = versionCandidates(input);
  const trusted = trustedCandidate(
    candidates,
    input.settings.qualityTargetShare,
  );
  if (trusted === undefined) {
    return err(notRun("no_allowed_version", {
      detail: "the settings of the path allow no usable version",
    }));
  }
  const plan = input.isInSession || input.settings.cascade === "off"
    ? planOf(trusted, input)
    : cascadePlan(input, { candidates, trusted });
  return ok(applyRollouts(plan, input));
}

/**
 * Whether new work may run on a version. Checked at dispatch and before each
 * retry, escalation and resume, with the newest settings and state.
 */
export function mayStart(
  version: VersionName,
  input: Pick<SelectionInput, "settings" | "control" | "localStops">,
): boolean {
  return isUsable(input.settings, version) &&
    !isWithdrawnOrStopped(version, input);
}

function pinnedPlan(
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

/** Returns the cheapest candidate that meets the target, else the best one. */
function trustedCandidate(
  candidates: readonly VersionCandidate[],
  targetShare: number,
): VersionCandidate | undefined {
  let best: VersionCandidate | undefined;
  for (const candidate of candidates) {
    if (candidate.estimate.lowerBoundShare >= targetShare) return candidate;
    const bestShare = best?.estimate.lowerBoundShare ?? -1;
    if (candidate.estimate.lowerBoundShare > bestShare) best = candidate;
  }
  return best;
}

function planOf(
  candidate: VersionCandidate,
  input: SelectionInput,
): VersionPlan {
  return {
    first: candidate.version,
    escalations: [],
    escalation: "none",
    meetsTarget:
      candidate.estimate.lowerBoundShare >= input.settings.qualityTargetShare,
  };
}

function cascadePlan(
  input: SelectionInput,
  options: {
    readonly candidates: readonly VersionCandidate[];
    readonly trusted: VersionCandidate;
  },
): VersionPlan {
  const { candidates, trusted } = options;
  const cheaper = input.isRatingAvailable
    ? cheaperFirst(input, options)
    : undefined;
  if (cheaper !== undefined) {
    return {
      first: cheaper.version,
      escalations: [trusted, ...betterCandidates(candidates, trusted)]
        .slice(0, MAX_ESCALATIONS).map((candidate) => candidate.version),
      escalation: "required",
      meetsTarget: false,
    };
  }
  const escalations = betterCandidates(candidates, trusted)
    .slice(0, MAX_ESCALATIONS).map((candidate) => candidate.version);
  return {
    ...planOf(trusted, input),
    escalations,
    escalation: escalations.length === 0 ? "none" : "optional",
  };
}

function betterCandidates(
  candidates: readonly VersionCandidate[],
  reference: VersionCandidate,
): VersionCandidate[] {
  const better: VersionCandidate[] = [];
  let lowerBoundShare = reference.estimate.lowerBoundShare;
  for (const candidate of candidates) {
    if (candidate.estimate.lowerBoundShare <= lowerBoundShare) continue;
    if (candidate.priceMicroEur < reference.priceMicroEur) continue;
    better.push(candidate);
    lowerBoundShare = candidate.estimate.lowerBoundShare;
  }
  return better;
}

function cheaperFirst(
  input: SelectionInput,
  options: {
    readonly candidates: readonly VersionCandidate[];
    readonly trusted: VersionCandidate;
  },
): VersionCandidate | undefined {
  const { candidates, trusted } = options;
  let best: VersionCandidate | undefined;
  let bestCost = trusted.priceMicroEur * (1 - MIN_CASCADE_SAVING_SHARE);
  for (const candidate of candidates) {
    if (candidate.priceMicroEur >= trusted.priceMicroEur) break;
    const passShare = passShareOf(
      candidate.estimate,
      input.settings.qualityTargetShare,
    );
    const cost = candidate.priceMicroEur +
      (1 - passShare) * trusted.priceMicroEur;
    if (cost >= bestCost) continue;
    best = candidate;
    bestCost = cost;
  }
  return best;
}

/** Replaces baselines by the new versions that roll-outs expose to the key. */
function applyRollouts(plan: VersionPlan, input: SelectionInput): VersionPlan {
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
