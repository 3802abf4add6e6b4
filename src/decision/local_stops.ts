/**
 * Versions that this VM has stopped because their ratings are bad, before the
 * withdrawal is in the log. A stopped version receives no new work. A stop is
 * lifted only when a roll-out of the version is started again after the stop.
 */
import { type VersionName } from "../model/mod.ts";
import { type ControlState, type Position } from "../state/mod.ts";

/** Maximum number of stopped versions; the oldest stop is evicted first. */
export const MAX_LOCAL_STOPS = 64;

export interface LocalStop {
  readonly version: VersionName;
  /** Position in the control stream that this VM had read at the stop. */
  readonly position: Position;
  readonly reason: string;
}

/** An immutable set of stopped versions. */
export class LocalStops {
  readonly #stops: readonly LocalStop[];

  private constructor(stops: readonly LocalStop[]) {
    this.#stops = stops;
  }

  static readonly empty: LocalStops = new LocalStops([]);

  /** Whether the version is stopped. */
  has(version: VersionName): boolean {
    return this.of(version) !== undefined;
  }

  of(version: VersionName): LocalStop | undefined {
    return this.#stops.find((stop) => stop.version === version);
  }

  /** Stops, oldest first. */
  list(): readonly LocalStop[] {
    return this.#stops;
  }

  /** Returns the set with a new stop; a version's existing stop is retained. */
  add(stop: LocalStop): LocalStops {
    if (this.has(stop.version)) return this;
    return new LocalStops([...this.#stops, stop].slice(-MAX_LOCAL_STOPS));
  }

  /** Returns the stops that no later start of a roll-out has lifted. */
  withoutLifted(control: ControlState): LocalStops {
    const remaining = this.#stops.filter((stop) => !isLifted(stop, control));
    return remaining.length === this.#stops.length
      ? this
      : new LocalStops(remaining);
  }
}

function isLifted(stop: LocalStop, control: ControlState): boolean {
  for (const { position, step } of control.rollouts.values()) {
    if (step.version !== stop.version || step.verdict !== "start") continue;
    if (position > stop.position) return true;
  }
  return false;
}
