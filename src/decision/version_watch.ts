/**
 * One process's view of versions: its own ratings, the quality table of all
 * VMs, the change watches of running roll-outs and the versions it has stopped.
 * Each new control state and each rating yields a new value. A withdraw verdict
 * stops the version on this VM at once, before any record is written.
 */
import {
  type RolloutPlan,
  ROOT_PATH,
  type Settings,
  type VersionName,
} from "../model/mod.ts";
import { type ControlState } from "../state/mod.ts";
import { type ChangeWatch, updateWatch } from "./change_watch.ts";
import { LocalStops } from "./local_stops.ts";
import { OwnRatings, QualityTable, type Rating } from "./quality.ts";
import {
  decideRollout,
  type RolloutInput,
  type RolloutVerdict,
} from "./rollout.ts";

/** Inputs and verdict of the decision on one roll-out. */
export interface RolloutDecision {
  readonly input: RolloutInput;
  readonly verdict: RolloutVerdict;
}

interface WatchFields {
  readonly vm: string;
  readonly ownRatings: OwnRatings;
  readonly quality: QualityTable;
  readonly localStops: LocalStops;
  readonly watches: ReadonlyMap<string, ChangeWatch>;
  readonly decisions: readonly RolloutDecision[];
}

/** An immutable view of versions, roll-outs and stops. */
export class VersionWatch {
  readonly #fields: WatchFields;

  private constructor(fields: WatchFields) {
    this.#fields = fields;
  }

  /** Creates a view that resumes from the records the VM wrote earlier. */
  static create(vm: string, control: ControlState): VersionWatch {
    return new VersionWatch({
      vm,
      ownRatings: OwnRatings.resume(control.quality.values(), vm),
      quality: QualityTable.empty,
      localStops: LocalStops.empty,
      watches: new Map(),
      decisions: [],
    }).observe(control);
  }

  get ownRatings(): OwnRatings {
    return this.#fields.ownRatings;
  }

  get quality(): QualityTable {
    return this.#fields.quality;
  }

  /** Versions that receive no new work on this VM. */
  get localStops(): LocalStops {
    return this.#fields.localStops;
  }

  /** Decisions on the roll-outs in the root's settings, in their order. */
  get decisions(): readonly RolloutDecision[] {
    return this.#fields.decisions;
  }

  /** Returns the view of a newer control state. */
  observe(control: ControlState): VersionWatch {
    return this.#refresh(this.#fields.ownRatings, control);
  }

  /** Returns the view with one more rating of this VM. */
  addRating(rating: Rating, control: ControlState): VersionWatch {
    return this.#refresh(this.#fields.ownRatings.add(rating), control);
  }

  #refresh(ownRatings: OwnRatings, control: ControlState): VersionWatch {
    const { vm } = this.#fields;
    const records = control.quality;
    const quality = this.#fields.quality.refresh({
      records,
      ownRatings,
      vm,
    });
    const settings = control.tree.resolve(ROOT_PATH).values;
    const watches = this.#updateWatches(settings, { control, quality });
    const unlifted = this.#fields.localStops.withoutLifted(control);
    const decisions = settings.rollouts.map((plan) =>
      decisionOf(plan, { control, quality, settings, watches, stops: unlifted })
    );
    const localStops = stopWithdrawn(unlifted, { decisions, control });
    return new VersionWatch({
      vm,
      ownRatings,
      quality,
      localStops,
      watches,
      decisions,
    });
  }

  #updateWatches(
    settings: Settings,
    options: {
      readonly control: ControlState;
      readonly quality: QualityTable;
    },
  ): ReadonlyMap<string, ChangeWatch> {
    const watches = new Map<string, ChangeWatch>();
    for (const plan of settings.rollouts) {
      const progress = options.control.rollouts.get(plan.name);
      if (progress === undefined) continue;
      const before = this.#fields.watches.get(plan.name);
      const { quality } = options;
      watches.set(plan.name, updateWatch(before, { progress, quality }));
    }
    return watches;
  }
}

function decisionOf(
  plan: RolloutPlan,
  options: {
    readonly control: ControlState;
    readonly quality: QualityTable;
    readonly settings: Settings;
    readonly watches: ReadonlyMap<string, ChangeWatch>;
    readonly stops: LocalStops;
  },
): RolloutDecision {
  const input: RolloutInput = {
    plan,
    progress: options.control.rollouts.get(plan.name),
    watch: options.watches.get(plan.name),
    quality: options.quality,
    settings: options.settings,
  };
  const verdict = decideRollout(input);
  const stop = options.stops.of(plan.version);
  if (stop === undefined || verdict.kind === "ended") return { input, verdict };
  return { input, verdict: { kind: "withdraw", reason: stop.reason } };
}

function stopWithdrawn(
  stops: LocalStops,
  options: {
    readonly decisions: readonly RolloutDecision[];
    readonly control: ControlState;
  },
): LocalStops {
  let after = stops;
  for (const { input, verdict } of options.decisions) {
    if (verdict.kind !== "withdraw") continue;
    const version: VersionName = input.plan.version;
    const { position } = options.control;
    after = after.add({ version, position, reason: verdict.reason });
  }
  return after;
}
