/**
 * What one process knows of versions: its own ratings, the table of all, the
 * watches of running roll-outs and the versions it has stopped. It is changed
 * by reading the control state again or by adding a rating; both return a new
 * value. A verdict to withdraw stops the version on this VM at once, before any
 * record is written.
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

/** A roll-out with what it does next. */
export interface RolloutDecision {
  readonly input: RolloutInput;
  readonly verdict: RolloutVerdict;
}

interface WatchFields {
  readonly vm: string;
  readonly own: OwnRatings;
  readonly quality: QualityTable;
  readonly stops: LocalStops;
  readonly watches: ReadonlyMap<string, ChangeWatch>;
  readonly decisions: readonly RolloutDecision[];
}

/** An immutable view of versions, roll-outs and stops. */
export class VersionWatch {
  readonly #fields: WatchFields;

  private constructor(fields: WatchFields) {
    this.#fields = fields;
  }

  /** The view of a VM that goes on from the records it wrote before. */
  static create(vm: string, control: ControlState): VersionWatch {
    return new VersionWatch({
      vm,
      own: OwnRatings.resume(control.quality.values(), vm),
      quality: QualityTable.empty,
      stops: LocalStops.empty,
      watches: new Map(),
      decisions: [],
    }).observe(control);
  }

  /** This VM's own ratings. */
  get own(): OwnRatings {
    return this.#fields.own;
  }

  /** Quality of all versions. */
  get quality(): QualityTable {
    return this.#fields.quality;
  }

  /** Versions that this VM gives no new work. */
  get stops(): LocalStops {
    return this.#fields.stops;
  }

  /** What each roll-out of the root's settings does next. */
  get decisions(): readonly RolloutDecision[] {
    return this.#fields.decisions;
  }

  /** The view with the control state read again. */
  observe(control: ControlState): VersionWatch {
    return this.#refreshed(this.#fields.own, control);
  }

  /** The view after one more rated answer of this VM. */
  addRating(rating: Rating, control: ControlState): VersionWatch {
    return this.#refreshed(this.#fields.own.add(rating), control);
  }

  #refreshed(own: OwnRatings, control: ControlState): VersionWatch {
    const { vm } = this.#fields;
    const records = control.quality;
    const quality = this.#fields.quality.refresh({ records, own, vm });
    const settings = control.tree.resolve(ROOT_PATH).values;
    const watches = this.#updatedWatches(settings, { control, quality });
    const held = this.#fields.stops.settle(control);
    const moves = settings.rollouts.map((plan) =>
      moveOf(plan, { control, quality, settings, watches, stops: held })
    );
    const stops = stopBad(held, { moves, control });
    return new VersionWatch({
      vm,
      own,
      quality,
      stops,
      watches,
      decisions: moves,
    });
  }

  #updatedWatches(
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

function moveOf(
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

function stopBad(
  stops: LocalStops,
  options: {
    readonly moves: readonly RolloutDecision[];
    readonly control: ControlState;
  },
): LocalStops {
  let after = stops;
  for (const { input, verdict } of options.moves) {
    if (verdict.kind !== "withdraw") continue;
    const version: VersionName = input.plan.version;
    const { position } = options.control;
    after = after.add({ version, position, reason: verdict.reason });
  }
  return after;
}
