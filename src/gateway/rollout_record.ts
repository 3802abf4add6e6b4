/**
 * One ordered roll-out as this VM knows it: its own tally, those of other VMs,
 * and what follows from all of them together.
 */
import {
  addSample,
  EMPTY_TALLY,
  faultOfTarget,
  mergeTallies,
  type OrderedRollout,
  type TallySample,
  tallySince,
  type VersionTally,
} from "../decision/mod.ts";
import { type RolloutOrder, type RolloutStage } from "../model/mod.ts";

/** What one VM saw of a roll-out. */
export interface VmTally {
  /** One life of a VM's process. */
  readonly vm: string;
  /** Grows each time that the VM tells it. */
  readonly sequence: number;
  readonly tally: VersionTally;
  /** Requests at servers of other versions. */
  readonly otherInFlightCount: number;
}

/** Times over which failures are looked at, beside the whole. */
const WINDOWS_MS = [3000, 8000] as const;
const HISTORY_STEP_MS = 500;
const HISTORY_MS = 10_000;
/** What a VM said of its work in flight holds for so long. */
const IN_FLIGHT_AGE_MS = 3000;
const MAX_VMS = 1024;

interface ReceivedTally {
  readonly vmTally: VmTally;
  readonly atMs: number;
  readonly isDirect: boolean;
}

/** A roll-out; its fields change as things become known. */
export class RolloutRecord implements OrderedRollout {
  readonly order: RolloutOrder;
  startedAtMs: number;
  fault: string | undefined;
  stage: RolloutStage | undefined;
  /** Whether it is known what stands in the store. */
  isStageKnown: boolean;
  #own: VersionTally = EMPTY_TALLY;
  #ownSequence = 0;
  readonly #heard = new Map<string, ReceivedTally>();
  readonly #history: { readonly atMs: number; readonly tally: VersionTally }[] =
    [];

  constructor(
    order: RolloutOrder,
    given: { readonly startedAtMs: number; readonly isStageKnown: boolean },
  ) {
    this.order = order;
    this.startedAtMs = given.startedAtMs;
    this.isStageKnown = given.isStageKnown;
  }

  /** Counts one of this VM's requests. */
  add(sample: TallySample): void {
    this.#own = addSample(this.#own, sample);
  }

  /** This VM's tally as it is told; each telling has a sequence of its own. */
  createTallyReport(vm: string, otherInFlightCount: number): VmTally {
    this.#ownSequence += 1;
    const sequence = this.#ownSequence;
    return { vm, sequence, tally: this.#own, otherInFlightCount };
  }

  /**
   * The tallies that VMs have told themselves. Only these are passed on: what
   * one reader has heard of another would otherwise go round between all.
   */
  directTallies(): VmTally[] {
    const direct = [...this.#heard.values()].filter((one) => one.isDirect);
    return direct.map(({ vmTally: given }) => given);
  }

  /** Takes another VM's tally, told by that VM itself or passed on. */
  receiveTally(
    given: VmTally,
    { nowMs, isDirect }: { readonly nowMs: number; readonly isDirect: boolean },
  ): void {
    const known = this.#heard.get(given.vm);
    if (known !== undefined && known.vmTally.sequence >= given.sequence) return;
    if (known === undefined && this.#heard.size >= MAX_VMS) return;
    this.#heard.set(given.vm, { vmTally: given, atMs: nowMs, isDirect });
  }

  /** Requests of other VMs at servers of other versions. */
  peerInFlightCount(nowMs: number): number {
    let count = 0;
    for (const { vmTally: given, atMs } of this.#heard.values()) {
      if (nowMs - atMs < IN_FLIGHT_AGE_MS) count += given.otherInFlightCount;
    }
    return count;
  }

  /** Looks at all tallies; says why the target is bad, if that is new. */
  evaluate(nowMs: number): string | undefined {
    if (this.fault !== undefined || this.stage === "completed") {
      return undefined;
    }
    const all = mergeTallies([
      this.#own,
      ...[...this.#heard.values()].map(({ vmTally: given }) => given.tally),
    ]);
    this.#remember(all, nowMs);
    this.fault = faultOfTarget(all) ?? this.#recentFault(all, nowMs);
    return this.fault;
  }

  #recentFault(all: VersionTally, nowMs: number): string | undefined {
    for (const windowMs of WINDOWS_MS) {
      const earlier = this.#history.findLast(({ atMs }) =>
        nowMs - atMs >= windowMs
      );
      if (earlier === undefined) continue;
      const fault = faultOfTarget(tallySince(all, earlier.tally));
      if (fault !== undefined) return `${fault} in ${windowMs} ms`;
    }
    return undefined;
  }

  #remember(tally: VersionTally, nowMs: number): void {
    const last = this.#history.at(-1);
    if (last !== undefined && nowMs - last.atMs < HISTORY_STEP_MS) return;
    this.#history.push({ atMs: nowMs, tally });
    while (nowMs - (this.#history[0]?.atMs ?? nowMs) > HISTORY_MS) {
      this.#history.shift();
    }
  }
}
