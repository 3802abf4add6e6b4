/**
 * Which sessions this VM has lately seen, and whether they ran on the target of
 * a roll-out, so that a session under way is not moved to another version.
 */
import { type Clock } from "../model/mod.ts";

const MAX_SESSIONS = 20_000;

interface SeenSession {
  readonly isOnTarget: boolean;
  readonly atMs: number;
}

/** The sessions seen within a time. */
export class SessionMemory {
  readonly #clock: Clock;
  readonly #keepMs: number;
  readonly #seen = new Map<string, SeenSession>();

  constructor(options: { readonly clock: Clock; readonly keepMs: number }) {
    this.#clock = options.clock;
    this.#keepMs = options.keepMs;
  }

  /** Whether the session ran on the target; absent when it is new. */
  isOnTarget(session: string): boolean | undefined {
    const seen = this.#seen.get(session);
    if (seen === undefined) return undefined;
    return this.#clock() - seen.atMs > this.#keepMs
      ? undefined
      : seen.isOnTarget;
  }

  /** The session runs now. */
  note(session: string, isOnTarget: boolean): void {
    // Set anew, so that the map's order is that of the last use.
    this.#seen.delete(session);
    this.#seen.set(session, { isOnTarget, atMs: this.#clock() });
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
