/**
 * One VM's state of an ordered roll-out: its own tally, the tallies received
 * from other VMs, and the fault that all of them together show.
 */
import {
  addPace,
  addSample,
  EMPTY_TALLY,
  isDecisionDue,
  isLoadTrial,
  loadTrialDoubt,
  mergeTallies,
  type OrderedRollout,
  type PaceSample,
  type TallySample,
  tallySince,
  targetDoubt,
  targetFault,
  targetShare,
  type VersionTally,
} from "../../decision/mod.ts";
import { type RolloutOrder, type RolloutStage } from "../../model/mod.ts";
import { eraOf, offsetOf } from "../store/store_position.ts";

/** The outcomes that one VM has counted for a roll-out. */
export interface VmTally {
  /** The process instance of the VM. */
  readonly vm: string;
  /** Increases with each report of the VM. */
  readonly sequence: number;
  readonly tally: VersionTally;
  /** Requests in flight at servers of other versions than the target. */
  readonly otherInFlightCount: number;
}

/** Recent windows that are evaluated in addition to the complete tally. */
const WINDOWS_MS = [3000, 8000] as const;
const HISTORY_STEP_MS = 500;
const HISTORY_MS = 10_000;
/** Reported counts of requests in flight expire after this time. */
const IN_FLIGHT_TTL_MS = 3000;
const MAX_VMS = 1024;

interface ReceivedTally {
  readonly vmTally: VmTally;
  readonly atMs: number;
  /** Whether the VM itself sent it, instead of a store reader. */
  readonly isDirect: boolean;
}

/** The mutable state of one roll-out. */
export class RolloutRecord implements OrderedRollout {
  readonly order: RolloutOrder;
  /** The newest position of the order, by which statuses name it. */
  position: number;
  /** Whether it was found there in a copy of the store. */
  isCopied = false;
  /** Whether the store may lack the status of `stage`. */
  isStatusLost = false;
  readonly canaryShare: number;
  startedAtMs: number;
  fault: string | undefined;
  stage: RolloutStage | undefined;
  /** Whether `stage` reflects the statuses in the store. */
  isStageKnown: boolean;
  /** Some of the target's servers that had failed at the last evaluation. */
  failingIds: readonly string[] = [];
  /** Requests that this VM has sent for the load trial. */
  loadTrialCount = 0;
  /**
   * Requests of sessions that kept their version though their hash chose the
   * target: as many requests of no session run on the target in their place.
   */
  freePlaceCount = 0;
  readonly #setAside = new Set<string>();
  #ownTally: VersionTally = EMPTY_TALLY;
  /** The sum of all tallies; undefined after one of them has changed. */
  #merged: VersionTally | undefined;
  /** The sum judged last, and the earlier ones since which it has no fault. */
  #judged: VersionTally | undefined;
  readonly #soundSince = new Set<VersionTally>();
  /** All tallies when the load trial began. */
  #tallyAtTrial: VersionTally | undefined;
  /** Doubt in the load trial, kept until it is decided: later answers hide it. */
  #trialDoubt: string | undefined;
  #ownSequence = 0;
  readonly #received = new Map<string, ReceivedTally>();
  readonly #history: { readonly atMs: number; readonly tally: VersionTally }[] =
    [];

  constructor(
    order: RolloutOrder,
    initial: Pick<
      RolloutRecord,
      "canaryShare" | "startedAtMs" | "isStageKnown"
    >,
  ) {
    this.order = order;
    this.position = order.offset;
    this.canaryShare = initial.canaryShare;
    this.startedAtMs = initial.startedAtMs;
    this.isStageKnown = initial.isStageKnown;
  }

  /** The versions that earlier orders have left aside. */
  get setAside(): ReadonlySet<string> {
    return this.#setAside;
  }

  /**
   * Takes the place of an earlier order: the version on which not all requests
   * ran by then is left aside, so that sessions keep to one version.
   */
  follow(
    earlier: RolloutRecord,
    { nowMs, readyVersions }: {
      readonly nowMs: number;
      readonly readyVersions: ReadonlySet<string>;
    },
  ): void {
    const isInUse = targetShare(earlier, nowMs) === 1;
    for (const version of readyVersions) {
      const isLeft = (version === earlier.order.target) !== isInUse;
      if (version === this.order.target) continue;
      if (isLeft || earlier.setAside.has(version)) this.#setAside.add(version);
    }
  }

  /** Moves the order to the position at which a restored store has it. */
  moveTo(position: number): void {
    this.isCopied = eraOf(position) !== eraOf(this.position) &&
      offsetOf(position) === offsetOf(this.position);
    this.position = position;
    this.isStatusLost = this.stage !== undefined;
  }

  /** Adds one of this VM's requests to its tally. */
  add(sample: TallySample): void {
    this.#ownTally = addSample(this.#ownTally, sample);
    this.#merged = undefined;
  }

  /** Adds the pace of one of this VM's answers to its tally. */
  addPace(pace: PaceSample): void {
    this.#ownTally = addPace(this.#ownTally, pace);
    this.#merged = undefined;
  }

  /** Returns this VM's tally under the next sequence number. */
  createTallyReport(vm: string, otherInFlightCount: number): VmTally {
    this.#ownSequence += 1;
    const sequence = this.#ownSequence;
    return { vm, sequence, tally: this.#ownTally, otherInFlightCount };
  }

  /**
   * The tallies that VMs have sent themselves. Store readers forward only
   * these; otherwise each tally would circulate between all readers.
   */
  directTallies(): VmTally[] {
    const direct = [...this.#received.values()].filter((tally) =>
      tally.isDirect
    );
    return direct.map(({ vmTally }) => vmTally);
  }

  /**
   * Stores another VM's tally, sent by that VM or forwarded, unless the stored
   * one is as new.
   */
  receiveTally(
    vmTally: VmTally,
    { nowMs, isDirect }: { readonly nowMs: number; readonly isDirect: boolean },
  ): void {
    const last = this.#received.get(vmTally.vm);
    if (last !== undefined && last.vmTally.sequence >= vmTally.sequence) return;
    if (last === undefined && this.#received.size >= MAX_VMS) return;
    this.#received.set(vmTally.vm, { vmTally, atMs: nowMs, isDirect });
    this.#merged = undefined;
  }

  /** Requests of other VMs in flight at other versions than the target. */
  peerInFlightCount(nowMs: number): number {
    let count = 0;
    for (const { vmTally, atMs } of this.#received.values()) {
      if (nowMs - atMs < IN_FLIGHT_TTL_MS) count += vmTally.otherInFlightCount;
    }
    return count;
  }

  /** The tallies of all VMs together. */
  get mergedTally(): VersionTally {
    return this.#merged ??= mergeTallies([
      this.#ownTally,
      ...[...this.#received.values()].map(({ vmTally }) => vmTally.tally),
    ]);
  }

  /** Evaluates all tallies; returns the target's fault if it is a new one. */
  evaluate(nowMs: number): string | undefined {
    if (this.fault !== undefined || this.stage === "completed") {
      return undefined;
    }
    const all = this.mergedTally;
    this.failingIds = all.failingIds;
    this.#recordHistory(all, nowMs);
    if (isLoadTrial(this, nowMs)) {
      this.#tallyAtTrial ??= all;
      this.#trialDoubt ??= loadTrialDoubt(all, this.#tallyAtTrial);
    }
    this.fault = this.#faultSince(EMPTY_TALLY, all) ??
      this.#recentFault(all, nowMs) ??
      (isDecisionDue(this, nowMs)
        ? targetDoubt(all) ?? this.#trialDoubt
        : undefined);
    return this.fault;
  }

  #recentFault(all: VersionTally, nowMs: number): string | undefined {
    for (const windowMs of WINDOWS_MS) {
      const earlier = this.#history.findLast(({ atMs }) =>
        nowMs - atMs >= windowMs
      );
      if (earlier === undefined) continue;
      const fault = this.#faultSince(earlier.tally, all);
      if (fault !== undefined) return `${fault} in ${windowMs} ms`;
    }
    return undefined;
  }

  /** Judges what was added since an earlier sum, once for each pair of sums. */
  #faultSince(earlier: VersionTally, all: VersionTally): string | undefined {
    if (this.#judged !== all) this.#soundSince.clear();
    this.#judged = all;
    if (earlier === all || this.#soundSince.has(earlier)) return undefined;
    const added = earlier === EMPTY_TALLY ? all : tallySince(all, earlier);
    const fault = targetFault(added);
    if (fault === undefined) this.#soundSince.add(earlier);
    return fault;
  }

  #recordHistory(tally: VersionTally, nowMs: number): void {
    const last = this.#history.at(-1);
    if (last !== undefined && nowMs - last.atMs < HISTORY_STEP_MS) return;
    this.#history.push({ atMs: nowMs, tally });
    while (nowMs - (this.#history[0]?.atMs ?? nowMs) > HISTORY_MS) {
      this.#history.shift();
    }
  }
}
