/**
 * This VM's part of the fleet's budget for sending requests a second time, by
 * service. The platform bounds all VMs together; each VM keeps to the ratio for
 * its own requests and to its part of the fixed slack, so that no VM has to ask
 * another. A cascade's escalations leave a part for failures.
 */
import {
  countInWindow,
  EMPTY_RETRY_WINDOW,
  retriesLeft,
  type RetryBound,
  type RetryWindow,
} from "../decision/mod.ts";
import { type Clock } from "../model/mod.ts";

/** Why a request arrives a second time. */
export type RetryReason = "failure" | "escalation";

/** Part of the bound that is used: servers and VMs do not count in step. */
const USED_PART = 0.92;
/** Part of what a window allows that escalations leave for failures. */
const FAILURE_PART = 0.25;
const LEAST_FOR_FAILURES = 2;

/** Repeats that this VM may still send. */
export class RetryBudget {
  readonly #fleetBound: RetryBound;
  readonly #clock: Clock;
  readonly #vmCount: () => number;
  readonly #windows = new Map<string, RetryWindow>();

  constructor(options: {
    /** The bound over all VMs. */
    readonly fleetBound: RetryBound;
    readonly clock: Clock;
    readonly vmCount: () => number;
  }) {
    this.#fleetBound = options.fleetBound;
    this.#clock = options.clock;
    this.#vmCount = options.vmCount;
  }

  /** Counts a caller's request. */
  earn(service: string): void {
    this.#count(service, "request");
  }

  /** Takes one repeat, if there is one. */
  spend(service: string, reason: RetryReason): boolean {
    const { leftCount, allowedCount } = retriesLeft(
      this.#windowOf(service),
      this.#options(),
    );
    const keptCount = reason === "failure"
      ? 0
      : Math.max(LEAST_FOR_FAILURES, FAILURE_PART * allowedCount);
    if (leftCount - keptCount < 1) return false;
    this.#count(service, "repeat");
    return true;
  }

  #count(service: string, kind: "request" | "repeat"): void {
    const window = this.#windowOf(service);
    this.#windows.set(service, countInWindow(window, kind, this.#options()));
  }

  #windowOf(service: string): RetryWindow {
    return this.#windows.get(service) ?? EMPTY_RETRY_WINDOW;
  }

  #options(): { readonly bound: RetryBound; readonly nowMs: number } {
    const { ratio, slackCount, windowMs } = this.#fleetBound;
    const vmCount = Math.max(1, this.#vmCount());
    const bound = {
      ratio: ratio * USED_PART,
      slackCount: USED_PART * slackCount / vmCount,
      windowMs,
    };
    return { bound, nowMs: this.#clock() };
  }
}
