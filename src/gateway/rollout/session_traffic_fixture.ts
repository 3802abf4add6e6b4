/**
 * Sessions of callers in virtual time: each sends its next request a short while
 * after the answer to the last one. Counts the requests that change the version.
 */
import { type Random } from "../../model/mod.ts";

/** Mean pause between an answer and the session's next request. */
const MEAN_PAUSE_MS = 1200;
/** Longest pause; after a longer one a session would be a new one. */
const MAX_PAUSE_MS = 4800;
/** Requests of a session on average. */
export const MEAN_REQUEST_COUNT = 8;

/** How sessions have changed between the two versions. */
export interface VersionChanges {
  /** To the target, by the time of the request. */
  readonly toTargetMs: readonly number[];
  /** Back from the target. */
  readonly fromTargetMs: readonly number[];
}

interface OpenSession {
  /** When the next request is due; `Infinity` while one runs. */
  dueMs: number;
  isOnTarget: boolean | undefined;
}

/** All sessions of one play. */
export class SessionTraffic {
  readonly #random: Random;
  readonly #open = new Map<string, OpenSession>();
  readonly #toTargetMs: number[] = [];
  readonly #fromTargetMs: number[] = [];
  #beganCount = 0;

  constructor(random: Random) {
    this.#random = random;
  }

  get changes(): VersionChanges {
    return { toTargetMs: this.#toTargetMs, fromTargetMs: this.#fromTargetMs };
  }

  /** Begins a session whose first request is due at once. */
  begin(nowMs: number): void {
    this.#beganCount += 1;
    const session = `s-${this.#beganCount}`;
    this.#open.set(session, { dueMs: nowMs, isOnTarget: undefined });
  }

  /** Returns the sessions whose next request is due. */
  due(nowMs: number): string[] {
    const due: string[] = [];
    for (const [session, { dueMs }] of this.#open) {
      if (dueMs <= nowMs) due.push(session);
    }
    return due;
  }

  /** Records a request that is sent; a session without a server ends. */
  send(
    session: string,
    { isOnTarget, nowMs }: {
      readonly isOnTarget: boolean | undefined;
      readonly nowMs: number;
    },
  ): void {
    const open = this.#open.get(session);
    if (open === undefined) return;
    if (isOnTarget === undefined) {
      this.#open.delete(session);
      return;
    }
    const isChange = open.isOnTarget !== undefined &&
      open.isOnTarget !== isOnTarget;
    if (isChange) {
      (isOnTarget ? this.#toTargetMs : this.#fromTargetMs).push(nowMs);
    }
    open.isOnTarget = isOnTarget;
    open.dueMs = Infinity;
  }

  /** Records an answer: the session ends or pauses. */
  answer(session: string, nowMs: number): void {
    const open = this.#open.get(session);
    if (open === undefined) return;
    if (this.#random() < 1 / MEAN_REQUEST_COUNT) {
      this.#open.delete(session);
      return;
    }
    const pauseMs = -MEAN_PAUSE_MS * Math.log(1 - this.#random());
    open.dueMs = nowMs + Math.min(MAX_PAUSE_MS, pauseMs);
  }
}
