/**
 * The registry of roll-outs, which decides on which versions a request may run.
 */
import {
  isEnded,
  isLoadTrial,
  type OrderedRollout,
  summarise,
  targetShare,
} from "../../decision/mod.ts";
import {
  type Clock,
  type Logger,
  type RolloutOrder,
  type RolloutStatus,
} from "../../model/mod.ts";
import { type BackendFleet } from "../servers/backend_fleet.ts";
import {
  type LoadTrial,
  type VersionAcceptor,
  type VersionPace,
  type VersionSample,
  type VersionSelector,
  type VersionSession,
} from "../forwarding/forward_context.ts";
import { ObservedVersions } from "./observed_versions.ts";
import { type RolloutReport } from "../peers/peer_update.ts";
import { chooseVersion } from "./version_choice.ts";
import { relateOrder } from "./rollout_order.ts";
import { RolloutRecord } from "./rollout_record.ts";

export interface RolloutRegistryOptions {
  readonly fleet: BackendFleet;
  /** Share of a service's requests that an unproven version may get. */
  readonly canaryShare: number;
  /** Requests that it may get beyond its share. */
  readonly canarySlackCount: number;
  readonly vm: string;
  /** The number of VMs with this one; `undefined` while it is not known. */
  readonly vmCount: () => number | undefined;
  /** Time since the known orders were up to date; 0 by default. */
  readonly ordersAgeMs?: () => number;
  /** Whether the manifest names a service; all by default. */
  readonly isNamed?: (service: string) => boolean;
  /** Whether the servers of a data centre get no more requests. */
  readonly isEvacuated?: (place: string) => boolean;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Pause between two log lines with the tally of an open roll-out. */
const TALLY_LOG_PERIOD_MS = 2000;
/** Roll-outs kept; beyond these, only of services that the manifest names. */
const MAX_ROLLOUTS = 256;
/** Replaced orders of a service that are known again in an older copy. */
const MAX_EARLIER_ORDERS = 8;

/** The roll-outs of all services. */
export class RolloutRegistry implements VersionSelector {
  readonly #options: RolloutRegistryOptions;
  readonly #rollouts = new Map<string, RolloutRecord>();
  readonly #earlierOrders = new Map<string, readonly RolloutOrder[]>();
  readonly #versions: ObservedVersions;
  readonly #inFlight = new Map<string, number>();
  #tallyLoggedAtMs = -Infinity;

  constructor(options: RolloutRegistryOptions) {
    this.#options = options;
    this.#versions = new ObservedVersions(options);
  }

  /** The newest roll-out of each service. */
  get rollouts(): ReadonlyMap<string, RolloutRecord> {
    return this.#rollouts;
  }

  /**
   * Registers an order unless a newer one exists. `isNew` means that it was
   * placed just now, so that no status can have been written yet. The order in
   * force that a restored store has at another position goes on as it was.
   */
  applyOrder(order: RolloutOrder, isNew: boolean): void {
    const current = this.#rollouts.get(order.service);
    const earlier = this.#earlierOrders.get(order.service) ?? [];
    const relation = relateOrder(order, { current, earlier });
    if (relation === "old") return;
    if (relation === "again") return current?.moveTo(order.offset);
    if (current === undefined && !this.#hasRoomFor(order.service)) return;
    const { clock, canaryShare, logger } = this.#options;
    const record = new RolloutRecord(order, {
      canaryShare,
      startedAtMs: clock(),
      isStageKnown: isNew,
    });
    if (current !== undefined) {
      this.#retain(current, earlier);
      const ready = this.#options.fleet.readyVersionsOf(order.service);
      record.follow(current, { nowMs: clock(), readyVersions: ready });
    }
    this.#rollouts.set(order.service, record);
    const { service, target, durationMs, offset } = order;
    logger.info("roll-out ordered", {
      service,
      target,
      durationMs,
      offset,
      isNew,
    });
  }

  /** Whether another service's roll-out is kept, in place of an unnamed one's. */
  #hasRoomFor(service: string): boolean {
    if (this.#rollouts.size < MAX_ROLLOUTS) return true;
    const { isNamed = (): boolean => true } = this.#options;
    if (!isNamed(service)) return false;
    const unnamed = [...this.#rollouts.keys()].find((one) => !isNamed(one));
    if (unnamed === undefined) return false;
    this.#rollouts.delete(unnamed);
    this.#earlierOrders.delete(unnamed);
    return true;
  }

  #retain(
    { order, position }: RolloutRecord,
    earlier: readonly RolloutOrder[],
  ): void {
    const replaced = { ...order, offset: position };
    const retained = [...earlier, replaced].slice(-MAX_EARLIER_ORDERS);
    this.#earlierOrders.set(order.service, retained);
  }

  /**
   * Applies a status that is in the store; an ended roll-out stays ended. On
   * `completed` the operators stop the other versions, so a fault found at the
   * same moment no longer keeps requests from the target.
   */
  applyStatus(status: RolloutStatus): void {
    const rollout = this.#rollouts.get(status.service);
    if (rollout === undefined) return;
    if (rollout.position !== status.orderOffset) return;
    if (rollout.stage === status.stage) return;
    if (isEnded(rollout.stage)) return;
    rollout.stage = status.stage;
    if (status.stage === "reverted") rollout.fault ??= "reverted";
    this.#options.logger.info("roll-out stage", {
      service: status.service,
      target: status.target,
      stage: status.stage,
      fault: rollout.fault,
    });
    if (status.stage === "completed") rollout.fault = undefined;
  }

  /** Applies another VM's report; `sender` is that VM's process instance. */
  applyReport(
    report: RolloutReport,
    { nowMs, sender }: { readonly nowMs: number; readonly sender: string },
  ): void {
    const rollout = this.#rollouts.get(report.service);
    if (rollout?.position !== report.orderOffset) return;
    const startedAtMs = nowMs - report.ageMs;
    rollout.startedAtMs = Math.min(rollout.startedAtMs, startedAtMs);
    rollout.isStageKnown ||= report.isStageKnown;
    if (report.stage !== null) {
      const { order: { service, target }, position } = rollout;
      const { stage } = report;
      this.applyStatus({ service, target, stage, orderOffset: position });
    }
    const isOpen = !isEnded(rollout.stage) && rollout.fault === undefined;
    if (report.fault !== null && isOpen) {
      rollout.fault = report.fault;
      this.#logFault(rollout);
    }
    for (const tally of report.tallies) {
      rollout.receiveTally(tally, { nowMs, isDirect: tally.vm === sender });
    }
  }

  /** Checks the tallies of all roll-outs for targets that have become bad. */
  evaluate(): void {
    const nowMs = this.#options.clock();
    for (const rollout of this.#rollouts.values()) {
      if (rollout.evaluate(nowMs) !== undefined) this.#logFault(rollout);
    }
    if (nowMs - this.#tallyLoggedAtMs < TALLY_LOG_PERIOD_MS) return;
    this.#tallyLoggedAtMs = nowMs;
    for (const rollout of this.#rollouts.values()) {
      if (!isEnded(rollout.stage)) this.#logTally(rollout);
    }
  }

  /** Records when the versions of each service were first observed. */
  recordVersions(services: Iterable<string>): void {
    this.#versions.record(services);
  }

  acceptorOf(
    service: string,
    session: VersionSession,
  ): VersionAcceptor {
    const rollout = this.#rollouts.get(service);
    if (rollout === undefined) {
      return this.#versions.acceptorOf(service, session);
    }
    const { isOnTarget, reason } = chooseVersion(rollout, {
      ...this.#options,
      session,
    });
    const { target } = rollout.order;
    const others = this.#versions.acceptorOf(service, { ...session, rollout });
    // The request may wait or run until all requests run on the target.
    const isLeftByShare = reason === "session_kept" || reason === "share";
    const isAllOnTarget = (): boolean =>
      isLeftByShare && this.#isAllOnTarget(rollout, session);
    const accepts = (version: string): boolean => {
      // Checks the fault per call: it may be found while the request runs.
      const isTaken = rollout.fault === undefined &&
        (isOnTarget || isAllOnTarget());
      return version === target ? isTaken : !isTaken && others.accepts(version);
    };
    return { accepts, reason };
  }

  #isAllOnTarget(
    rollout: RolloutRecord,
    { allowsPlace, failedVersion, isMultiRequest }: VersionSession,
  ): boolean {
    const { fleet, clock } = this.#options;
    const { service, target } = rollout.order;
    if (targetShare(rollout, clock()) !== 1) return false;
    if (failedVersion === target && !isMultiRequest) return false;
    return fleet.readyVersionsOf(service, allowsPlace).has(target);
  }

  loadTrialOf(service: string): LoadTrial | undefined {
    const rollout = this.#rollouts.get(service);
    if (rollout === undefined) return undefined;
    if (!isLoadTrial(rollout, this.#options.clock())) return undefined;
    return { version: rollout.order.target, failingIds: rollout.failingIds };
  }

  record(sample: VersionSample): void {
    const rollout = this.#rollouts.get(sample.service);
    if (rollout === undefined) return;
    const isTarget = sample.version === rollout.order.target;
    rollout.add({ ...sample, isTarget });
  }

  recordPace({ service, version, ...pace }: VersionPace): void {
    const rollout = this.#rollouts.get(service);
    if (rollout === undefined) return;
    const isTarget = version === rollout.order.target;
    rollout.addPace({ ...pace, isTarget });
  }

  adjustInFlight(service: string, version: string, change: 1 | -1): void {
    const key = `${service} ${version}`;
    const count = (this.#inFlight.get(key) ?? 0) + change;
    if (count === 0) this.#inFlight.delete(key);
    else this.#inFlight.set(key, count);
  }

  /** This VM's requests at servers of other versions than the target. */
  otherInFlightCount(rollout: OrderedRollout): number {
    const { service, target } = rollout.order;
    let total = 0;
    for (const [key, count] of this.#inFlight) {
      if (!key.startsWith(`${service} `)) continue;
      if (key !== `${service} ${target}`) total += count;
    }
    return total;
  }

  #logTally({ order, mergedTally }: RolloutRecord): void {
    const { service, target } = order;
    const targetSums = summarise(mergedTally.target);
    const otherSums = summarise(mergedTally.others);
    this.#options.logger.info("roll-out tally", {
      service,
      target,
      count: targetSums.count,
      errorCount: targetSums.errorCount,
      meanMs: targetSums.meanMs,
      otherCount: otherSums.count,
      otherErrorCount: otherSums.errorCount,
      otherMeanMs: otherSums.meanMs,
    });
  }

  #logFault({ order, fault }: RolloutRecord): void {
    const { service, target } = order;
    this.#options.logger.warn("version found bad", { service, target, fault });
  }
}
