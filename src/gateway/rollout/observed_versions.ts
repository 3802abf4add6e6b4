/**
 * When the versions of each service were first observed. A version without an
 * order gets no requests until orders are known that are a few seconds newer, as
 * its order may arrive after its servers. This holds also while an earlier order
 * is known.
 */
import { type Clock } from "../../model/mod.ts";
import { type BackendFleet } from "../servers/backend_fleet.ts";
import { type RolloutRecord } from "./rollout_record.ts";
import {
  type VersionAcceptor,
  type VersionSession,
} from "../forwarding/forward_context.ts";

/**
 * Delay after which a version without an order gets requests: it is unknown in
 * orders that are so much newer.
 */
const UNORDERED_VERSION_DELAY_MS = 3000;
/** Versions of a service above which those without servers are evicted. */
const MAX_VERSIONS = 64;

interface ObservedVersion {
  readonly firstObservedAtMs: number;
}

export interface ObservedVersionsOptions {
  readonly fleet: BackendFleet;
  readonly clock: Clock;
  /** Time since the known orders were up to date; 0 by default. */
  readonly ordersAgeMs?: () => number;
}

/** The versions of all services. */
export class ObservedVersions {
  readonly #options: ObservedVersionsOptions;
  readonly #versions = new Map<string, Map<string, ObservedVersion>>();

  constructor(options: ObservedVersionsOptions) {
    this.#options = options;
  }

  /** Records when the versions of each service were first observed. */
  record(services: Iterable<string>): void {
    const nowMs = this.#options.clock();
    for (const service of services) {
      const recorded = this.#versions.get(service);
      const versions = recorded ?? new Map<string, ObservedVersion>();
      for (const { version } of this.#options.fleet.serversOf(service)) {
        if (versions.has(version)) continue;
        const firstObservedAtMs = recorded === undefined ? -Infinity : nowMs;
        versions.set(version, { firstObservedAtMs });
      }
      if (versions.size > MAX_VERSIONS) this.#evictAbsent(service, versions);
      this.#versions.set(service, versions);
    }
  }

  /**
   * Accepts the versions of a service without an order, except those that were
   * first observed a moment ago while an older one is ready where the request
   * may go. The target of the order in force, if any, is not among them; those
   * that earlier orders have left aside are, where no other is ready. Sessions
   * wait for a version whose servers have just left.
   */
  acceptorOf(
    service: string,
    { allowsPlace, isMultiRequest, rollout }: VersionSession & {
      readonly rollout?: RolloutRecord;
    },
  ): VersionAcceptor {
    const versions = this.#versions.get(service);
    const { fleet, clock, ordersAgeMs = (): number => 0 } = this.#options;
    const latestMs = clock() - ordersAgeMs() - UNORDERED_VERSION_DELAY_MS;
    const isSettled = (version: string): boolean =>
      (versions?.get(version)?.firstObservedAtMs ?? -Infinity) <= latestMs;
    const ready = fleet.readyVersionsOf(service, allowsPlace);
    const isPreferred = (version: string): boolean =>
      isSettled(version) && rollout?.setAside.has(version) !== true;
    const filterOf = (
      present: ReadonlySet<string>,
    ): VersionAcceptor["accepts"] | undefined => {
      const others = [...present].filter((version) =>
        version !== rollout?.order.target
      );
      return [isPreferred, isSettled].find((accepts) => others.some(accepts));
    };
    const accepts = filterOf(ready);
    if (accepts === isPreferred) return { accepts, reason: "settled" };
    const held = isMultiRequest
      ? filterOf(fleet.recentVersionsOf(service, allowsPlace))
      : undefined;
    if (held !== undefined && held !== accepts) {
      return { accepts: held, reason: "session_held" };
    }
    return accepts === undefined
      ? { accepts: () => true, reason: "none_settled" }
      : { accepts, reason: "settled" };
  }

  #evictAbsent(service: string, versions: Map<string, ObservedVersion>): void {
    const servers = this.#options.fleet.serversOf(service);
    const present = new Set(servers.map(({ version }) => version));
    for (const version of versions.keys()) {
      if (!present.has(version)) versions.delete(version);
    }
  }
}
