/**
 * The evacuations that operators have ordered, as this VM knows them from the
 * store and from other VMs. VMs exchange them besides the store's records, as a
 * store that has lost a record no longer tells it to a VM that starts.
 */
import { type EvacuationFact, laterFact } from "../../decision/mod.ts";
import { type Clock, type Logger } from "../../model/mod.ts";

/** Facts in one message between VMs. */
export const MAX_SHARED_EVACUATIONS = 256;
/** Facts kept of data centres that the settings lack. */
const MAX_UNKNOWN_PLACES = 32;

/** A fact as sent to another VM. */
export interface SharedEvacuation extends EvacuationFact {
  readonly place: string;
}

export interface EvacuationsOptions {
  /** The data centres that the settings name. */
  readonly places: readonly string[];
  readonly clock: Clock;
  readonly logger: Logger;
}

interface Evacuation {
  readonly fact: EvacuationFact;
  /** When this VM learned of the end, if it knew the order. */
  readonly endedAtMs: number | undefined;
}

/** The evacuations that this VM knows. */
export class Evacuations {
  readonly #options: EvacuationsOptions;
  readonly #known = new Map<string, Evacuation>();
  #unknownPlaceCount = 0;

  constructor(options: EvacuationsOptions) {
    this.#options = options;
  }

  /** Whether the servers of a data centre get no more requests. */
  isEvacuated(place: string): boolean {
    return this.#known.get(place)?.fact.isOrdered === true;
  }

  /** The number of evacuated data centres. */
  get evacuatedCount(): number {
    let count = 0;
    for (const { fact } of this.#known.values()) if (fact.isOrdered) count += 1;
    return count;
  }

  /** Time since an evacuation ended; `undefined` if this VM saw no end. */
  endedMsAgo(place: string): number | undefined {
    const endedAtMs = this.#known.get(place)?.endedAtMs;
    return endedAtMs === undefined
      ? undefined
      : this.#options.clock() - endedAtMs;
  }

  /** Applies a record of the store. */
  record(place: string, fact: EvacuationFact): void {
    this.#apply(place, fact, "store");
  }

  /** Returns the facts for another VM. */
  toShare(): SharedEvacuation[] {
    return [...this.#known].slice(0, MAX_SHARED_EVACUATIONS)
      .map(([place, { fact }]) => ({ place, ...fact }));
  }

  /** Applies what another VM knows. */
  merge(evacuations: readonly SharedEvacuation[]): void {
    for (const { place, ...fact } of evacuations) {
      this.#apply(place, fact, "vm");
    }
  }

  #apply(place: string, next: EvacuationFact, source: "store" | "vm"): void {
    const before = this.#known.get(place);
    if (before === undefined && !this.#hasRoomFor(place)) return;
    const fact = laterFact(before?.fact, next);
    const wasOrdered = before?.fact.isOrdered === true;
    const { isOrdered, era, offset } = fact;
    const isEnd = wasOrdered && !isOrdered;
    const endedAtMs = isEnd ? this.#options.clock() : before?.endedAtMs;
    this.#known.set(place, {
      fact,
      endedAtMs: isOrdered ? undefined : endedAtMs,
    });
    if (wasOrdered === isOrdered) return;
    const event = isOrdered ? "data centre evacuated" : "evacuation ended";
    const evacuated = { evacuatedPlace: place, source, era, offset };
    this.#options.logger.info(event, evacuated);
  }

  /** Whether a new data centre is kept; logs one that the settings lack. */
  #hasRoomFor(place: string): boolean {
    const { places, logger } = this.#options;
    if (places.includes(place)) return true;
    if (this.#unknownPlaceCount >= MAX_UNKNOWN_PLACES) return false;
    this.#unknownPlaceCount += 1;
    logger.warn("evacuation of an unknown data centre", {
      evacuatedPlace: place,
    });
    return true;
  }
}
