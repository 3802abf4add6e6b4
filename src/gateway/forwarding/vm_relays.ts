/**
 * The other VMs through which a VM that reaches no backend server has its
 * requests answered. One that refused lately is avoided, as it may reach no
 * server either.
 */
import {
  chooseEntries,
  type MembershipState,
  type MemberUpdate,
} from "../../decision/mod.ts";
import { type Clock, type Random } from "../../model/mod.ts";
import { type PlaceRegion } from "../gateway_settings.ts";

/** Another VM, and its address for callers. */
export interface RelayVm {
  readonly vm: string;
  readonly address: string;
}

/** What a request needs of another VM. */
export interface RelayQuery {
  readonly triedIds: ReadonlySet<string>;
  /** Whether the request's body may be at a data centre. */
  readonly allowsPlace: (place: string) => boolean;
}

export interface VmRelaysOptions {
  readonly place: string;
  readonly places: readonly PlaceRegion[];
  readonly membership: () => MembershipState;
  readonly clock: Clock;
  readonly random: Random;
}

/** VMs among which one is drawn; more distant ones only if there are fewer. */
const VM_COUNTS = { min: 3, max: 6 } as const;
const AVOIDED_MS = 1000;
const LOAD_MAX_AGE_MS = 10_000;

export class VmRelays {
  readonly #options: VmRelaysOptions;
  readonly #avoidedUntilMs = new Map<string, number>();

  constructor(options: VmRelaysOptions) {
    this.#options = options;
  }

  /**
   * Returns a VM for the next attempt; none of those tried, and none of a data
   * centre where the request's body may not be.
   */
  choose({ triedIds, allowsPlace }: RelayQuery): RelayVm | undefined {
    const { clock, random } = this.#options;
    const nowMs = clock();
    const untried = ({ vm, place }: MemberUpdate): boolean =>
      !triedIds.has(vm) && allowsPlace(place);
    const isGood = (update: MemberUpdate): boolean =>
      untried(update) && (this.#avoidedUntilMs.get(update.vm) ?? 0) <= nowMs;
    const good = this.#nearest(isGood, nowMs);
    const vms = good.length > 0 ? good : this.#nearest(untried, nowMs);
    return vms[Math.floor(random() * vms.length)];
  }

  /** Records that a VM refused a request or did not answer it. */
  recordFailure(vm: string): void {
    this.#avoidedUntilMs.set(vm, this.#options.clock() + AVOIDED_MS);
  }

  #nearest(
    accepts: (update: MemberUpdate) => boolean,
    nowMs: number,
  ): RelayVm[] {
    const { place, places, membership, random } = this.#options;
    const state = membership();
    const others = {
      ...state,
      self: { ...state.self, address: "" },
      members: state.members.filter(({ update }) => accepts(update)),
    };
    const { entries } = chooseEntries(others, {
      place,
      places: places.map((item) => ({ ...item, delayMs: 0 })),
      drainedPlaces: [],
      maxCount: VM_COUNTS.max,
      minCount: VM_COUNTS.min,
      maxAgeMs: 0,
      loadMaxAgeMs: LOAD_MAX_AGE_MS,
      nowMs,
      random,
    });
    return entries.map(({ vm, address }) => ({ vm, address }));
  }
}
