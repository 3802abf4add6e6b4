/** Watches whether this VM reaches any backend server. */
import { applyReach, FULL_REACH, type ReachEvent } from "../decision/mod.ts";
import { type BackendServer, type Clock, type Logger } from "../model/mod.ts";

export interface ReachWatchOptions {
  /** The servers of all services. */
  readonly servers: () => readonly BackendServer[];
  readonly clock: Clock;
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

  /** Records that a connection to a server was established. */
  recordReached(): void {
    this.#apply({ kind: "reached" });
  }

  /** Records that no connection to a server could be established. */
  recordUnreached(serverId: string): void {
    const serverCount = this.#options.servers().length;
    this.#apply({ kind: "unreached", serverId, serverCount });
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
