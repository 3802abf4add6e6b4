/**
 * The graceful shutdown of a VM: its address is no longer advertised, it serves
 * until callers have dropped the address, refuses new requests, and ends when
 * all open requests are answered or the platform's grace period is over.
 */
import {
  acceptsNewWork,
  applyShutdown,
  createShutdown,
  type ShutdownEvent,
  type ShutdownState,
} from "../decision/mod.ts";
import { type Clock, type Logger, type Sleep } from "../model/mod.ts";
import { type GatewaySettings } from "./gateway_settings.ts";

/** Some callers cache an address for several times its maximum age. */
export const ENTRY_AGE_FACTOR = 3;
/** Time until all other VMs have stopped advertising a leaving VM. */
export const ANNOUNCEMENT_SPREAD_MS = 200;
/**
 * Maximum time for which callers cache entry addresses. After SIGTERM a VM
 * accepts requests for three times this age plus the spread. The sum leaves
 * half a second for a signal handled late, since a stream sent 3 s after
 * SIGTERM has to be completed.
 */
export const MAX_ENTRY_AGE_MS = 750;
/**
 * Time reserved for closing before the grace period ends, also where the signal
 * and timers were late.
 */
const END_MARGIN_MS = 700;
/** Interval between two checks for open requests. */
export const STOP_POLL_MS = 50;

export interface GatewayShutdownOptions {
  readonly settings: GatewaySettings;
  /** Announces this VM's status to the other VMs. */
  readonly announce: (status: "leaving" | "left") => void;
  /** The number of requests that are not answered yet. */
  readonly openCount: () => number;
  readonly clock: Clock;
  readonly sleep: Sleep;
  readonly logger: Logger;
}

/** Runs the shutdown of one VM. */
export class GatewayShutdown {
  readonly #options: GatewayShutdownOptions;
  #state: ShutdownState;

  constructor(options: GatewayShutdownOptions) {
    this.#options = options;
    this.#state = createShutdown({
      entryMaxAgeMs: ENTRY_AGE_FACTOR * options.settings.entryMaxAgeMs,
      spreadMs: ANNOUNCEMENT_SPREAD_MS,
      flushTimeoutMs: 0,
    });
  }

  /** Whether the shutdown has not begun. */
  get isServing(): boolean {
    return this.#state.phase === "serving";
  }

  /** Whether new requests are accepted. */
  get isAccepting(): boolean {
    return acceptsNewWork(this.#state, this.#options.clock());
  }

  /** Runs all phases; resolves when the process may exit. */
  async run(): Promise<void> {
    const { settings, clock, sleep, logger, openCount } = this.#options;
    const endMs = clock() + settings.graceMs - END_MARGIN_MS;
    logger.info("stopping", { openCount: openCount() });
    this.#apply({ kind: "terminate" });
    while (!this.#hasLeft() && clock() < endMs) {
      await sleep(Math.min(STOP_POLL_MS, Math.max(0, endMs - clock())));
      const progress = { openCount: openCount(), unconfirmedCount: 0 };
      this.#apply({ kind: "progress", ...progress });
    }
    this.#options.announce("left");
  }

  #hasLeft(): boolean {
    return this.#state.phase === "left";
  }

  #apply(event: ShutdownEvent): void {
    const { clock, logger, announce } = this.#options;
    const before = this.#state.phase;
    const { state, effects } = applyShutdown(this.#state, event, clock());
    this.#state = state;
    for (const effect of effects) {
      if (effect.kind === "announce") announce(effect.status);
    }
    if (state.phase === before) return;
    logger.info("shutdown", { phase: state.phase });
  }
}
