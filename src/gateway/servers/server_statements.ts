/**
 * What backend servers say of themselves in their answers besides a limit: that
 * they leave, or that they want no request of this VM for a while. Leaving holds
 * until another start of the server's process, whatever the store says; VMs pass
 * it on. A pause is between the server and this VM alone.
 */
import {
  type BackendServer,
  type Clock,
  type Logger,
} from "../../model/mod.ts";
import { serverKeyOf } from "../prompts/crash_news.ts";

/** Longer pauses are cut to this. */
const MAX_PAUSE_MS = 60_000;
/** Bounds of what is kept and sent. */
export const MAX_SHARED_LEAVING = 64;
const MAX_SERVERS = 10_000;

/** The statements that this VM knows. */
export class ServerStatements {
  readonly #clock: Clock;
  readonly #logger: Logger;
  /** Keys of servers, the newest last. */
  readonly #leavingKeys = new Set<string>();
  readonly #pausedUntilMs = new Map<string, number>();
  readonly #malformedKeys = new Set<string>();

  constructor(options: { readonly clock: Clock; readonly logger: Logger }) {
    this.#clock = options.clock;
    this.#logger = options.logger;
  }

  /** Whether a server has said that it leaves. */
  isLeaving(server: BackendServer): boolean {
    return this.#leavingKeys.has(serverKeyOf(server));
  }

  /** Time until a server's pause is over; 0 without one. */
  pauseLeftMs(server: BackendServer): number {
    const untilMs = this.#pausedUntilMs.get(serverKeyOf(server));
    return untilMs === undefined ? 0 : Math.max(0, untilMs - this.#clock());
  }

  /** Records that a server says that it leaves. */
  recordLeaving(server: BackendServer): void {
    this.#addLeaving(serverKeyOf(server), "answer");
  }

  /** Records the pause that a server wants; NaN changes nothing. */
  recordPause(server: BackendServer, pauseMs: number): void {
    const key = serverKeyOf(server);
    if (Number.isNaN(pauseMs)) return this.#logMalformed(key);
    const untilMs = this.#clock() + Math.min(MAX_PAUSE_MS, pauseMs);
    const beforeMs = this.#pausedUntilMs.get(key) ?? 0;
    if (untilMs <= beforeMs) return;
    this.#pausedUntilMs.delete(key);
    this.#pausedUntilMs.set(key, untilMs);
    limitSize(this.#pausedUntilMs);
    if (beforeMs > this.#clock()) return;
    this.#logger.info("server wants a pause", {
      server: server.id,
      pauseMs: Math.round(Math.min(MAX_PAUSE_MS, pauseMs)),
    });
  }

  /** Returns the servers that leave, for another VM. */
  toShare(): string[] {
    return [...this.#leavingKeys].slice(-MAX_SHARED_LEAVING);
  }

  /** Applies what another VM knows. */
  merge(leavingKeys: readonly string[]): void {
    for (const key of leavingKeys) this.#addLeaving(key, "vm");
  }

  #addLeaving(key: string, source: "answer" | "vm"): void {
    if (this.#leavingKeys.has(key)) return;
    this.#leavingKeys.add(key);
    limitSize(this.#leavingKeys);
    this.#logger.info("server leaving", { server: key, source });
  }

  #logMalformed(key: string): void {
    if (this.#malformedKeys.has(key)) return;
    this.#malformedKeys.add(key);
    limitSize(this.#malformedKeys);
    this.#logger.warn("malformed pause of a server", { server: key });
  }
}

/** Discards the oldest entry of a collection that has grown too large. */
function limitSize(
  entries: Map<string, unknown> | Set<string>,
): void {
  const [oldest] = entries.keys();
  if (entries.size > MAX_SERVERS && oldest !== undefined) {
    entries.delete(oldest);
  }
}
