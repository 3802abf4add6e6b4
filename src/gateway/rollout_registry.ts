/**
 * The roll-outs that this VM knows of, and which versions its requests may run
 * on. A version that nobody ordered is held back for a moment after it
 * appears, since its order may still be on its way.
 */
import {
  isEnded,
  isFirstHalf,
  type OrderedRollout,
  targetShare,
} from "../decision/mod.ts";
import {
  type Clock,
  hashShare,
  type Logger,
  type RolloutOrder,
  type RolloutStatus,
} from "../model/mod.ts";
import { type BackendFleet } from "./backend_fleet.ts";
import {
  type VersionGuide,
  type VersionSample,
  type VersionSession,
} from "./forward_context.ts";
import { type RolloutReport } from "./peer_update.ts";
import { RolloutRecord } from "./rollout_record.ts";
import { SessionMemory } from "./session_memory.ts";

/** What a roll-out book needs. */
export interface RolloutRegistryOptions {
  readonly fleet: BackendFleet;
  /** Of a service's requests, what a version may get before it is proved. */
  readonly canaryShare: number;
  readonly sessionMs: number;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** A version without an order is used this long after it appeared. */
const UNORDERED_VERSION_DELAY_MS = 3000;
/** Known versions of a service above which those that are gone are forgotten. */
const MAX_VERSIONS = 64;

interface ObservedVersion {
  readonly firstObservedAtMs: number;
}

/** The roll-outs of all services. */
export class RolloutRegistry implements VersionGuide {
  readonly #options: RolloutRegistryOptions;
  readonly #sessions: SessionMemory;
  readonly #rollouts = new Map<string, RolloutRecord>();
  readonly #versions = new Map<string, Map<string, ObservedVersion>>();
  readonly #inFlight = new Map<string, number>();

  constructor(options: RolloutRegistryOptions) {
    this.#options = options;
    const { clock, sessionMs } = options;
    this.#sessions = new SessionMemory({ clock, keepMs: sessionMs });
  }

  /** All roll-outs. */
  get rollouts(): ReadonlyMap<string, RolloutRecord> {
    return this.#rollouts;
  }

  /** Takes an order; `isNew` when it has only just been given. */
  applyOrder(order: RolloutOrder, isNew: boolean): void {
    const known = this.#rollouts.get(order.service);
    if (known !== undefined && known.order.offset >= order.offset) return;
    const { clock, logger } = this.#options;
    this.#rollouts.set(
      order.service,
      new RolloutRecord(order, { startedAtMs: clock(), isStageKnown: isNew }),
    );
    const { service, target, durationMs, offset } = order;
    logger.info("roll-out ordered", {
      service,
      target,
      durationMs,
      offset,
      isNew,
    });
  }

  /** Takes what stands in the store of a roll-out. */
  applyStatus(status: RolloutStatus): void {
    const rollout = this.#rollouts.get(status.service);
    if (rollout === undefined) return;
    if (rollout.order.offset !== status.orderOffset) return;
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
  }

  /** Takes what another VM knows of a roll-out; `teller` is that VM's life. */
  applyReport(
    news: RolloutReport,
    { nowMs, teller }: { readonly nowMs: number; readonly teller: string },
  ): void {
    const rollout = this.#rollouts.get(news.service);
    if (rollout?.order.offset !== news.orderOffset) return;
    const startedAtMs = nowMs - news.ageMs;
    rollout.startedAtMs = Math.min(rollout.startedAtMs, startedAtMs);
    rollout.isStageKnown ||= news.isStageKnown;
    if (news.stage !== null) {
      const { service, target, offset: orderOffset } = rollout.order;
      this.applyStatus({ service, target, stage: news.stage, orderOffset });
    }
    if (news.fault !== null && rollout.fault === undefined) {
      rollout.fault = news.fault;
      this.#logFault(rollout);
    }
    for (const tally of news.tallies) {
      rollout.receiveTally(tally, { nowMs, isDirect: tally.vm === teller });
    }
  }

  /** Looks at what was seen of all targets. */
  evaluate(): void {
    const nowMs = this.#options.clock();
    for (const rollout of this.#rollouts.values()) {
      if (rollout.evaluate(nowMs) !== undefined) this.#logFault(rollout);
    }
  }

  /** Notes which versions of each service are there. */
  recordVersions(services: Iterable<string>): void {
    const nowMs = this.#options.clock();
    for (const service of services) {
      const known = this.#versions.get(service);
      const versions = known ?? new Map<string, ObservedVersion>();
      for (const { version } of this.#options.fleet.serversOf(service)) {
        if (versions.has(version)) continue;
        const seenAtMs = known === undefined ? -Infinity : nowMs;
        versions.set(version, { firstObservedAtMs: seenAtMs });
      }
      if (versions.size > MAX_VERSIONS) this.#forgetGone(service, versions);
      this.#versions.set(service, versions);
    }
  }

  acceptorOf(
    service: string,
    session: VersionSession,
  ): (version: string) => boolean {
    const rollout = this.#rollouts.get(service);
    const target = rollout?.order.target;
    const isOnTarget = rollout !== undefined &&
      this.#isOnTarget(rollout, session);
    if (session.isLasting) {
      const key = `${service} ${session.key}`;
      this.#sessions.note(key, isOnTarget ? target : undefined);
    }
    if (rollout === undefined) return this.#unordered(service);
    // The target may be found bad while the request is under way.
    return (version) =>
      (version === target) === (isOnTarget && rollout.fault === undefined);
  }

  note(sample: VersionSample): void {
    const rollout = this.#rollouts.get(sample.service);
    if (rollout === undefined) return;
    const isTarget = sample.version === rollout.order.target;
    rollout.add({ ...sample, isTarget });
  }

  noteInFlight(service: string, version: string, change: 1 | -1): void {
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

  #forgetGone(service: string, versions: Map<string, ObservedVersion>): void {
    const servers = this.#options.fleet.serversOf(service);
    const there = new Set(servers.map(({ version }) => version));
    for (const version of versions.keys()) {
      if (!there.has(version)) versions.delete(version);
    }
  }

  #logFault({ order, fault }: RolloutRecord): void {
    const { service, target } = order;
    this.#options.logger.warn("version found bad", { service, target, fault });
  }

  #isOnTarget(
    rollout: RolloutRecord,
    session: VersionSession,
  ): boolean {
    const { service, target } = rollout.order;
    const there = this.#options.fleet.readyVersionsOf(service);
    const hasOthers = [...there].some((version) => version !== target);
    if (!hasOthers) return rollout.fault === undefined;
    if (!there.has(target)) return false;
    const { key, isLasting, failedVersion } = session;
    const hasFailed = failedVersion === target && !isEnded(rollout.stage);
    // A session keeps to its version, however its requests fare.
    if (hasFailed && !isLasting) return false;
    const { clock, canaryShare } = this.#options;
    const nowMs = clock();
    if (!rollout.isStageKnown && rollout.stage !== "completed") return false;
    const share = targetShare(rollout, { nowMs, canaryShare });
    if (share === 0 || share === 1) return share === 1;
    const seen = isLasting
      ? this.#sessions.find(`${service} ${key}`)
      : undefined;
    if (seen?.target === target) return true;
    if (seen !== undefined && isFirstHalf(rollout, nowMs)) return false;
    return hashShare(`${target} ${key}`) < share;
  }

  /** Versions that nobody ordered, without those that just appeared. */
  #unordered(service: string): (version: string) => boolean {
    const versions = this.#versions.get(service);
    const latestMs = this.#options.clock() - UNORDERED_VERSION_DELAY_MS;
    const isSettled = (version: string): boolean =>
      (versions?.get(version)?.firstObservedAtMs ?? -Infinity) <= latestMs;
    const ready = this.#options.fleet.readyVersionsOf(service);
    const hasSettled = [...ready].some(isSettled);
    return hasSettled ? isSettled : () => true;
  }
}
