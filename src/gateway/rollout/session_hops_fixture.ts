/**
 * Sessions in virtual time that send each request to another VM, some of which
 * wait there before they are sent on. Counts the changes of version that the
 * platform's rule counts.
 */
import { type BackendServer, type Random } from "../../model/mod.ts";
import {
  type VersionAcceptor,
  type VersionReason,
} from "../forwarding/forward_context.ts";
import { type SiteVm } from "./site_vm_fixture.ts";

/** A roll-out of the play. */
export interface PlayedRollout {
  readonly target: string;
  /** When the order is written. */
  readonly atMs: number;
  readonly durationMs: number;
  /** How long before the order the target's servers are registered. */
  readonly serverLeadMs: number;
  /** How long after the order a bad target is found. */
  readonly foundAfterMs?: number;
}

/** A request that changed the version of its session. */
export interface VersionChange {
  /** To the target in the first half of its roll-out, or back from a good one. */
  readonly kind: "early" | "back";
  readonly from: string;
  readonly to: string;
  readonly atMs: number;
  readonly vm: string;
  readonly reason: VersionReason;
}

export interface SiteOutcome {
  readonly changes: readonly VersionChange[];
  /** Requests that ran, and those that no server was there for. */
  readonly ranCount: number;
  readonly refusedCount: number;
}

interface Session {
  key: string;
  dueMs: number;
  /** The request that waits at a VM. */
  waiting:
    | { readonly vm: SiteVm; readonly versions: VersionAcceptor }
    | undefined;
  /** The last request that ran. */
  last:
    | { readonly version: string; readonly endMs: number; isInTouch: boolean }
    | undefined;
}

/** The settings `sessionS` and `connectedMs`. */
const SESSION_MS = 5000;
const CONNECTED_MS = 4000;
const END_SHARE = 0.08;
const MEAN_PAUSE_MS = 700;
const MAX_WORK_MS = 1500;
/** Share of the requests that wait, and how long at most. */
const WAIT_SHARE = 0.2;
const MAX_WAIT_MS = 1500;
const RETRY_MS = 500;

export class SessionHops {
  readonly #rollouts: readonly PlayedRollout[];
  readonly #random: Random;
  readonly #sessions: Session[];
  readonly #reverted = new Map<string, number>();
  readonly #changes: VersionChange[] = [];
  #beganCount = 0;
  #ranCount = 0;
  #refusedCount = 0;

  constructor({ sessionCount, rollouts }: {
    readonly sessionCount: number;
    readonly rollouts: readonly PlayedRollout[];
  }, random: Random) {
    this.#rollouts = rollouts;
    this.#random = random;
    this.#sessions = Array.from(
      { length: sessionCount },
      () => this.#begin(2000 * random()),
    );
  }

  get outcome(): SiteOutcome {
    return {
      changes: this.#changes,
      ranCount: this.#ranCount,
      refusedCount: this.#refusedCount,
    };
  }

  recordEnd(
    target: string,
    { stage, nowMs }: { readonly stage: string; readonly nowMs: number },
  ): void {
    if (stage === "reverted") this.#reverted.set(target, nowMs);
  }

  /** Sends all requests that are due. */
  step(
    nowMs: number,
    { vms, service, isRunning }: {
      readonly vms: readonly SiteVm[];
      readonly service: string;
      readonly isRunning: (server: BackendServer) => boolean;
    },
  ): void {
    for (const session of this.#sessions) {
      if (session.dueMs > nowMs) continue;
      if (session.waiting === undefined) {
        const vm = vms[Math.floor(this.#random() * vms.length)];
        if (vm === undefined) return;
        const versions = vm.registry.acceptorOf(service, {
          key: session.key,
          isMultiRequest: true,
          failedVersion: undefined,
          allowsPlace: undefined,
        });
        session.waiting = { vm, versions };
        if (this.#random() < WAIT_SHARE) {
          session.dueMs = nowMs + MAX_WAIT_MS * this.#random();
          continue;
        }
      }
      const { vm, versions } = session.waiting;
      session.waiting = undefined;
      const candidates = vm.fleet.candidates({
        service,
        acceptsVersion: versions.accepts,
        excludedIds: new Set(),
        isOpen: () => true,
        mayProbe: false,
      });
      const chosen = candidates[Math.floor(this.#random() * candidates.length)];
      if (chosen === undefined || !isRunning(chosen.server)) {
        this.#refusedCount += 1;
        session.dueMs = nowMs + RETRY_MS * (0.5 + this.#random());
        continue;
      }
      const { version } = chosen.server;
      this.#run(session, { version, vm, reason: versions.reason, nowMs });
    }
  }

  #run(
    session: Session,
    { version, vm, reason, nowMs }: {
      readonly version: string;
      readonly vm: SiteVm;
      readonly reason: VersionReason;
      readonly nowMs: number;
    },
  ): void {
    this.#ranCount += 1;
    const isInTouch = nowMs - vm.startedAtMs >= CONNECTED_MS ||
      vm.startedAtMs === 0;
    const { last } = session;
    const isCounted = last !== undefined && last.version !== version &&
      isInTouch && last.isInTouch && nowMs - last.endMs < SESSION_MS;
    if (isCounted) {
      const kind = this.#kindOf(last.version, version, nowMs);
      const change = { from: last.version, to: version, atMs: nowMs };
      if (kind !== undefined) {
        this.#changes.push({ kind, ...change, vm: vm.name, reason });
      }
    }
    const endMs = nowMs + 20 + MAX_WORK_MS * this.#random() ** 2;
    session.last = { version, endMs, isInTouch };
    session.dueMs = endMs - MEAN_PAUSE_MS * Math.log(1 - this.#random());
    if (this.#random() >= END_SHARE) return;
    Object.assign(session, this.#begin(endMs));
  }

  /** `from` and `to` are versions; undefined if the change is allowed. */
  #kindOf(
    from: string,
    to: string,
    nowMs: number,
  ): VersionChange["kind"] | undefined {
    const rolloutOf = (version: string): PlayedRollout | undefined =>
      this.#rollouts.find(({ target }) => target === version);
    const forward = rolloutOf(to);
    const halfMs = (forward?.atMs ?? 0) + (forward?.durationMs ?? 0) / 2;
    const isNewer = (forward?.atMs ?? -1) > (rolloutOf(from)?.atMs ?? -1);
    if (isNewer) return nowMs < halfMs ? "early" : undefined;
    const isRolledBack = (this.#reverted.get(from) ?? Infinity) <= nowMs;
    const isBad = rolloutOf(from)?.foundAfterMs !== undefined;
    return isRolledBack || isBad ? undefined : "back";
  }

  #begin(dueMs: number): Session {
    this.#beganCount += 1;
    const key = `s-${this.#beganCount}`;
    return { key, dueMs, waiting: undefined, last: undefined };
  }
}
