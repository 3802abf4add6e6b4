/**
 * The sessions that recently sent requests to this VM, and the roll-out target
 * that they ran on, so that an active session stays on its version.
 */
import { type Clock } from "../model/mod.ts";

const MAX_SESSIONS = 20_000;

/** The last use of a session. */
export interface RecentSession {
  /** The target it ran on; `undefined` if it ran on another version. */
  readonly target: string | undefined;
  readonly atMs: number;
}

/** The sessions used within the retention time. */
export class RecentSessions {
  readonly #clock: Clock;
  readonly #retentionMs: number;
  readonly #sessions = new Map<string, RecentSession>();

  constructor(
    options: { readonly clock: Clock; readonly retentionMs: number },
  ) {
    this.#clock = options.clock;
    this.#retentionMs = options.retentionMs;
  }

  /** Returns a session's last use, if it is recent. */
  find(session: string): RecentSession | undefined {
    const recent = this.#sessions.get(session);
    if (recent === undefined) return undefined;
    return this.#clock() - recent.atMs > this.#retentionMs ? undefined : recent;
  }

  /** Records a session's use and the target it runs on. */
  record(session: string, target: string | undefined): void {
    // Deleted first, so that the map is ordered by last use.
    this.#sessions.delete(session);
    this.#sessions.set(session, { target, atMs: this.#clock() });
    this.#evict();
  }

  #evict(): void {
    const nowMs = this.#clock();
    for (const [session, { atMs }] of this.#sessions) {
      const isExpired = nowMs - atMs > this.#retentionMs;
      if (!isExpired && this.#sessions.size <= MAX_SESSIONS) return;
      this.#sessions.delete(session);
    }
  }
}
