/**
 * Versions that this VM has found bad and gives no new work, before the log
 * carries the withdrawal. A stop is lifted only when operators start the
 * version's roll-out again after the stop.
 */
import { type VersionName } from "../model/mod.ts";
import { type ControlState, type Position } from "../state/mod.ts";

/** The most versions that may be stopped at a time; the oldest goes first. */
export const MAX_LOCAL_STOPS = 64;

/** One version stopped on this VM. */
export interface LocalStop {
  readonly version: VersionName;
  /** Position of the control stream that this VM had read by then. */
  readonly position: Position;
  readonly reason: string;
}

/** An immutable set of stopped versions. */
export class LocalStops {
  readonly #stops: readonly LocalStop[];

  private constructor(stops: readonly LocalStop[]) {
    this.#stops = stops;
  }

  /** No version stopped. */
  static readonly empty: LocalStops = new LocalStops([]);

  /** Whether this VM gives the version no new work. */
  has(version: VersionName): boolean {
    return this.of(version) !== undefined;
  }

  /** The stop of a version. */
  of(version: VersionName): LocalStop | undefined {
    return this.#stops.find((stop) => stop.version === version);
  }

  /** All stops, oldest first. */
  list(): readonly LocalStop[] {
    return this.#stops;
  }

  /** These stops and one more; a version already stopped keeps its stop. */
  add(stop: LocalStop): LocalStops {
    if (this.has(stop.version)) return this;
    return new LocalStops([...this.#stops, stop].slice(-MAX_LOCAL_STOPS));
  }

  /** The stops that no newer start of a roll-out has lifted. */
  settle(control: ControlState): LocalStops {
    const kept = this.#stops.filter((stop) => !isLifted(stop, control));
    return kept.length === this.#stops.length ? this : new LocalStops(kept);
  }
}

function isLifted(stop: LocalStop, control: ControlState): boolean {
  for (const { position, step } of control.rollouts.values()) {
    if (step.version !== stop.version || step.verdict !== "start") continue;
    if (position > stop.position) return true;
  }
  return false;
}
