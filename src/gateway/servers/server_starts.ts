/**
 * The starts of backend servers' processes that this VM knows. An entry that
 * lapses and comes back with the same start is no new one.
 */
import { type BackendServer, type Clock } from "../../model/mod.ts";

/** A VM that has just started has no earlier list of servers to compare. */
const SETTLE_MS = 3000;
/** How long the start of a process is known after its entry has lapsed. */
const LAPSED_MS = 60_000;

interface KnownStart {
  readonly processStartedAtMs: number;
  readonly lapsedAtMs: number | undefined;
}

export class ServerStarts {
  readonly #clock: Clock;
  readonly #starts = new Map<string, KnownStart>();
  #firstAtMs: number | undefined;

  constructor(options: { readonly clock: Clock }) {
    this.#clock = options.clock;
  }

  /** Whether a ready server has started while this VM was serving. */
  isNew({ id, processStartedAtMs, status }: BackendServer): boolean {
    const known = this.#starts.get(id);
    const isKnown = known?.processStartedAtMs === processStartedAtMs;
    if (isKnown && known.lapsedAtMs === undefined) return false;
    if (status !== "ready") return false;
    this.#starts.set(id, { processStartedAtMs, lapsedAtMs: undefined });
    const nowMs = this.#clock();
    this.#firstAtMs ??= nowMs;
    return !isKnown && nowMs - this.#firstAtMs >= SETTLE_MS;
  }

  /** Forgets servers some time after they are no longer registered. */
  retain(isRegistered: (id: string) => boolean): void {
    const nowMs = this.#clock();
    for (const [id, start] of this.#starts) {
      if (isRegistered(id)) continue;
      const lapsedAtMs = start.lapsedAtMs ?? nowMs;
      if (nowMs - lapsedAtMs >= LAPSED_MS) this.#starts.delete(id);
      else this.#starts.set(id, { ...start, lapsedAtMs });
    }
  }
}
