/** Settings, records and states for tests about versions. */
import {
  DEFAULT_SETTINGS,
  hashShare,
  type RequestClass,
  type RolloutPlan,
  type Settings,
  type VersionName,
} from "../model/mod.ts";
import { ControlState, type LogRecord, type RecordOf } from "../state/mod.ts";
import { LocalStops } from "./local_stops.ts";
import { OwnRatings, QualityTable } from "./quality.ts";
import { type SelectionInput } from "./selection.ts";

/** Settings with a cheap, a middle and an expensive version. */
export function createSettings(changes: Partial<Settings> = {}): Settings {
  return {
    ...DEFAULT_SETTINGS,
    allowed: ["small@1", "middle@1", "large@1"],
    qualityTargetShare: 0.7,
    catalogue: [
      createEntry("small@1", 100, 0.55),
      createEntry("middle@1", 1000, 0.82),
      createEntry("middle@2", 900, 0.82),
      createEntry("large@1", 5000, 0.95),
    ],
    ...changes,
  };
}

/** Plan that replaces middle@1 by middle@2. */
export function createPlan(changes: Partial<RolloutPlan> = {}): RolloutPlan {
  return {
    name: "middle-2",
    version: "middle@2",
    baseline: "middle@1",
    stepShares: [0.05, 0.25, 1],
    minRatings: 30,
    toleratedLossShare: 0.05,
    falseStopShare: 0.01,
    isPaused: false,
    ...changes,
  };
}

/** Control state after the records, each in a separate log entry. */
export function createControl(records: readonly LogRecord[]): ControlState {
  let state = ControlState.empty;
  for (const record of records) {
    const offset = Math.floor(state.position / 1024);
    state = state.apply({ offset, records: [record] });
  }
  return state;
}

/** A step of the roll-out of middle@2. */
export function createStep(
  verdict: RecordOf<"rollout_step">["verdict"],
  changes: Partial<RecordOf<"rollout_step">> = {},
): RecordOf<"rollout_step"> {
  return {
    kind: "rollout_step",
    id: `step-${verdict}-${changes.stepIndex ?? 0}`,
    rollout: "middle-2",
    version: "middle@2",
    after: 0,
    verdict,
    stepIndex: 0,
    reason: "",
    ...changes,
  };
}

/** Table with `count` equal ratings of each version and class. */
export function createQualityTable(
  ratings: readonly {
    readonly version: VersionName;
    readonly count: number;
    readonly scoreShare: number;
    readonly requestClass?: RequestClass;
  }[],
): QualityTable {
  let ownRatings = OwnRatings.empty;
  for (const { version, count, scoreShare, requestClass } of ratings) {
    for (let index = 0; index < count; index += 1) {
      ownRatings = ownRatings.add({
        version,
        requestClass: requestClass ?? "drafting",
        scoreShare,
      });
    }
  }
  const records = ControlState.empty.quality;
  return QualityTable.empty.refresh({ records, ownRatings, vm: "vm-1" });
}

/** Selection input of a request outside sessions. */
export function createSelectionInput(
  changes: Partial<SelectionInput> = {},
): SelectionInput {
  return {
    settings: createSettings(),
    control: ControlState.empty,
    quality: QualityTable.empty,
    localStops: LocalStops.empty,
    requestClass: "drafting",
    key: "request-1",
    isInSession: false,
    pinned: undefined,
    isRatingAvailable: true,
    ...changes,
  };
}

function createEntry(
  version: VersionName,
  price: number,
  priorQualityShare: number,
): Settings["catalogue"][number] {
  return {
    version,
    inputPriceMicroEurPerMTok: price,
    outputPriceMicroEurPerMTok: price * 4,
    memoryMb: 1000,
    priorQualityShare,
  };
}

/** Edit that sets the root's settings. */
export function createTreeRecord(settings: Settings): RecordOf<"edit"> {
  return {
    kind: "edit",
    id: "tree",
    path: "/",
    change: { set: settings, clear: [] },
    base: 1_000_000_000,
    author: "test",
    note: "",
  };
}

/** Returns the n-th score of a fixed sequence of normal random samples. */
export function sampleScore(
  nth: number,
  options: { readonly meanShare: number; readonly deviationShare?: number },
): number {
  const uniform = (salt: string): number => hashShare(`${salt} ${nth}`);
  const radius = Math.sqrt(-2 * Math.log(1 - uniform("radius")));
  const normal = radius * Math.cos(2 * Math.PI * uniform("angle"));
  const deviationShare = options.deviationShare ?? 0.15;
  const score = options.meanShare + deviationShare * normal;
  return Math.min(1, Math.max(0, score));
}
