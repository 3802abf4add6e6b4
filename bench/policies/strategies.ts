/** Version strategies of a run: the actual selection and the baselines. */
import { err, ok } from "neverthrow";
import {
  LocalStops,
  OwnRatings,
  planVersions,
  QualityTable,
  shouldEscalate,
  type VersionPlan,
} from "../../src/decision/mod.ts";
import {
  type ChooseVersions,
  type ShouldEscalate,
} from "../../src/filter/mod.ts";
import {
  notRun,
  type Random,
  REQUEST_CLASSES,
  type VersionName,
} from "../../src/model/mod.ts";
import { ControlState } from "../../src/state/mod.ts";
import { versionModel, VERSIONS } from "./site.ts";

export interface VersionStrategy {
  readonly name: string;
  readonly cascade: "off" | "before_relay";
  readonly choose: ChooseVersions;
}

const RATINGS_PER_VERSION_AND_CLASS = 500;
const SCORE_STANDARD_DEVIATION = 0.12;
const UNIFORM_TERM_COUNT = 12;

/**
 * Samples the score of one answer, within 0 to 1, from an approximate normal
 * distribution: the sum of uniform variates.
 */
export function sampleScore(mean: number, random: Random): number {
  let sum = -UNIFORM_TERM_COUNT / 2;
  for (let term = 0; term < UNIFORM_TERM_COUNT; term += 1) sum += random();
  return Math.min(1, Math.max(0, mean + SCORE_STANDARD_DEVIATION * sum));
}

/** Creates the strategies over a quality table of ratings sampled up front. */
export function createStrategies(random: Random): VersionStrategy[] {
  const quality = createQualityTable(random);
  const select = (cascade: "off" | "before_relay"): ChooseVersions => (query) =>
    planVersions({
      settings: { ...query.settings, cascade },
      control: ControlState.empty,
      quality,
      localStops: LocalStops.empty,
      requestClass: query.request.requestClass,
      key: query.request.session === undefined
        ? query.request.requestId
        : query.path,
      isInSession: query.request.session !== undefined,
      pinned: undefined,
      isRatingAvailable: true,
    });
  return [
    { name: "cheapest at target", cascade: "off", choose: select("off") },
    {
      name: "cascade",
      cascade: "before_relay",
      choose: select("before_relay"),
    },
    { name: "always best", cascade: "off", choose: fixedVersion(-1) },
    { name: "always cheapest", cascade: "off", choose: fixedVersion(0) },
  ];
}

/** Creates a substitute for the rating service that samples scores. */
export function createRater(random: Random): ShouldEscalate {
  return ({ request, answer, signal }, targetShare) => {
    const mean = versionModel(answer.version)
      .qualityShare[request.requestClass];
    const scoreShare = sampleScore(mean, random);
    const isShort = shouldEscalate({
      scoreShare,
      targetShare,
      escalation: "required",
      deadlineLeftMs: signal.aborted ? 0 : Infinity,
      expectedMs: 0,
      budgetPressureShare: 0,
    });
    return Promise.resolve(isShort);
  };
}

function createQualityTable(random: Random): QualityTable {
  let ratings = OwnRatings.empty;
  for (const { version, qualityShare } of VERSIONS) {
    for (const requestClass of REQUEST_CLASSES) {
      for (let count = 0; count < RATINGS_PER_VERSION_AND_CLASS; count += 1) {
        const scoreShare = sampleScore(qualityShare[requestClass], random);
        ratings = ratings.add({ version, requestClass, scoreShare });
      }
    }
  }
  const records = ControlState.empty.quality;
  return QualityTable.empty.refresh({
    records,
    ownRatings: ratings,
    vm: "bench",
  });
}

/** Always chooses the allowed version at an index; -1 is the last one. */
function fixedVersion(index: number): ChooseVersions {
  return ({ settings }) => {
    const version: VersionName | undefined = settings.allowed.at(index);
    if (version === undefined) {
      return err(notRun("no_allowed_version", { detail: "none" }));
    }
    const plan: VersionPlan = {
      first: version,
      escalations: [],
      escalation: "none",
      meetsTarget: true,
    };
    return ok(plan);
  };
}
