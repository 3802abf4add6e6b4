/**
 * Which sessions this VM has lately seen, and on which target of a roll-out they
 * ran, if on any, so that a session under way is not moved to another version.
 */
import { type Clock } from "../model/mod.ts";

const MAX_SESSIONS = 20_000;

/** A session that was seen. */
export interface RecentSession {
  /** The target that it ran on; absent when it ran on another version. */
  readonly target: string | undefined;
  readonly atMs: number;
}

/** The sessions seen within a time. */
export class RecentSessions {
  readonly #clock: Clock;
  readonly #keepMs: number;
  readonly #seen = new Map<string, RecentSession>();

  constructor(
    options: { readonly clock: Clock; readonly retentionMs: number },
  ) {
    this.#clock = options.clock;
    this.#keepMs = options.retentionMs;
  }

  /** The session as it was seen last; absent when it is new. */
  find(session: string): RecentSession | undefined {
    const seen = this.#seen.get(session);
    if (seen === undefined) return undefined;
    return this.#clock() - seen.atMs > this.#keepMs ? undefined : seen;
  }

  /** The session runs now. */
  record(session: string, target: string | undefined): void {
    // Set anew, so that the map's order is that of the last use.
    this.#seen.delete(session);
    this.#seen.set(session, { target, atMs: this.#clock() });
    this.#forget();
  }

  #forget(): void {
    const nowMs = this.#clock();
    for (const [session, { atMs }] of this.#seen) {
      const isOld = nowMs - atMs > this.#keepMs;
      if (!isOld && this.#seen.size <= MAX_SESSIONS) return;
      this.#seen.delete(session);
    }
  }
}
