/** How a run chooses versions: the product's way and the baselines. */
import { err, ok } from "neverthrow";
import {
  candidateVersions,
  LocalStops,
  OwnRatings,
  QualityTable,
  shouldEscalate,
  type VersionPlan,
} from "../../src/decision/mod.ts";
import { type ChooseVersions, type FallsShort } from "../../src/filter/mod.ts";
import {
  notRun,
  type Random,
  REQUEST_CLASSES,
  type VersionName,
} from "../../src/model/mod.ts";
import { ControlState } from "../../src/state/mod.ts";
import { versionModel, VERSIONS } from "./site.ts";

/** A way to choose versions. */
export interface VersionStrategy {
  readonly name: string;
  readonly cascade: "off" | "before_relay";
  readonly choose: ChooseVersions;
}

const RATINGS_PER_VERSION_AND_CLASS = 500;
const SCORE_DEVIATION = 0.12;
const NORMAL_TERMS = 12;

/** A score of one answer. */
export function sampleScore(mean: number, random: Random): number {
  let sum = -NORMAL_TERMS / 2;
  for (let term = 0; term < NORMAL_TERMS; term += 1) sum += random();
  return Math.min(1, Math.max(0, mean + SCORE_DEVIATION * sum));
}

/** The strategies, over a table of ratings drawn before the run. */
export function createStrategies(random: Random): VersionStrategy[] {
  const quality = createQualityTable(random);
  const select = (cascade: "off" | "before_relay"): ChooseVersions => (query) =>
    candidateVersions({
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

/** Rates an answer as the rating service would. */
export function createRater(random: Random): FallsShort {
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
  let own = OwnRatings.empty;
  for (const { version, qualityShare } of VERSIONS) {
    for (const requestClass of REQUEST_CLASSES) {
      for (let count = 0; count < RATINGS_PER_VERSION_AND_CLASS; count += 1) {
        const scoreShare = sampleScore(qualityShare[requestClass], random);
        own = own.add({ version, requestClass, scoreShare });
      }
    }
  }
  const records = ControlState.empty.quality;
  return QualityTable.empty.refresh({ records, own, vm: "bench" });
}

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
