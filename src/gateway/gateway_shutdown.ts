/**
 * The graceful end of a VM: it is no longer handed out, serves until callers
 * have dropped its address, refuses, and is over when all is answered or the
 * platform's grace ends.
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

/** Some callers keep an address for several times its age. */
export const ENTRY_AGE_FACTOR = 3;
/** How long other VMs may go on naming one that leaves. */
export const ANNOUNCEMENT_SPREAD_MS = 200;
const END_MARGIN_MS = 300;
/** Between two looks at what is still open. */
export const STOP_POLL_MS = 50;

/** What a shutdown needs. */
export interface GatewayShutdownOptions {
  readonly settings: GatewaySettings;
  /** Tells the other VMs. */
  readonly announce: (status: "leaving" | "left") => void;
  /** Requests that are not answered yet. */
  readonly openCount: () => number;
  readonly clock: Clock;
  readonly sleep: Sleep;
  readonly logger: Logger;
}

/** The shutdown of one VM. */
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

  /** Whether nobody has told the VM to stop. */
  get isServing(): boolean {
    return this.#state.phase === "serving";
  }

  /** Whether new requests are taken. */
  get isAccepting(): boolean {
    return acceptsNewWork(this.#state);
  }

  /** Goes through all phases; resolves when the VM may leave. */
  async run(): Promise<void> {
    const { settings, clock, sleep, logger, openCount } = this.#options;
    const endMs = clock() + settings.graceMs - END_MARGIN_MS;
    logger.info("stopping", { openCount: openCount() });
    this.#apply({ kind: "terminate" });
    while (!this.#hasLeft() && clock() < endMs) {
      await sleep(STOP_POLL_MS);
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
