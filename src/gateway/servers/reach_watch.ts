/**
 * Watches whether this VM reaches any backend server. A VM that is cut off sends
 * its requests through other VMs, so a connection of its own has to find out
 * when a server is in reach again.
 */
import { applyReach, FULL_REACH, type ReachEvent } from "../../decision/mod.ts";
import {
  type BackendServer,
  type Clock,
  type Logger,
  type Random,
  type Sleep,
} from "../../model/mod.ts";

/** A VM that is cut off tries to reach a server this often. */
const PROBE_PERIOD_MS = 300;
const CHECK_PERIOD_MS = 100;
const PROBE_TIMEOUT_MS = 400;
const LASTING_MS = 1000;

/** Connects to an address; resolves to whether that worked in time. */
export type ConnectProbe = (
  address: string,
  options: { readonly timeoutMs: number },
) => Promise<boolean>;

export interface ReachWatchOptions {
  /** The servers of all services. */
  readonly servers: () => readonly BackendServer[];
  readonly connects: ConnectProbe;
  readonly clock: Clock;
  readonly sleep: Sleep;
  readonly random: Random;
  readonly logger: Logger;
}

export class ReachWatch {
  readonly #options: ReachWatchOptions;
  #reach = FULL_REACH;

  constructor(options: ReachWatchOptions) {
    this.#options = options;
  }

  /** Whether this VM reaches no server at present. */
  get isCutOff(): boolean {
    return this.#reach.cutOffSinceMs !== undefined;
  }

  /** Whether this VM has been cut off for longer than a probe may take. */
  get isLastingCut(): boolean {
    const { cutOffSinceMs } = this.#reach;
    return cutOffSinceMs !== undefined &&
      this.#options.clock() >= cutOffSinceMs + LASTING_MS;
  }

  /** Records that a connection to a server was established. */
  recordReached(): void {
    this.#apply({ kind: "reached" });
  }

  /** Records that no connection to a server could be established. */
  recordUnreached(serverId: string): void {
    const serverCount = this.#options.servers().length;
    this.#apply({ kind: "unreached", serverId, serverCount });
  }

  /** Tries to reach a server while the VM is cut off. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.isCutOff) await this.#probe();
      const periodMs = this.isCutOff ? PROBE_PERIOD_MS : CHECK_PERIOD_MS;
      await this.#options.sleep(periodMs, signal);
    }
  }

  async #probe(): Promise<void> {
    const { servers, random, connects } = this.#options;
    const known = servers();
    const server = known[Math.floor(random() * known.length)];
    if (server === undefined) return;
    const timeoutMs = PROBE_TIMEOUT_MS;
    if (await connects(server.address, { timeoutMs })) this.recordReached();
  }

  #apply(event: ReachEvent): void {
    const { clock, logger } = this.#options;
    const { cutOffSinceMs } = this.#reach;
    const nowMs = clock();
    this.#reach = applyReach(this.#reach, event, nowMs);
    if (cutOffSinceMs === undefined && this.isCutOff) {
      const servers = [...this.#reach.unreachedIds].join(" ");
      logger.warn("no server in reach", { servers });
    } else if (cutOffSinceMs !== undefined && !this.isCutOff) {
      const forMs = Math.round(nowMs - cutOffSinceMs);
      logger.info("servers in reach again", { forMs });
    }
  }
}
