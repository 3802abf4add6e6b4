/**
 * This VM's share of the fleet's retry budget, by service. The platform limits
 * all VMs together. Each VM applies the ratio to its own requests and uses its
 * share of the fixed slack, so that no coordination between VMs is needed. A VM
 * has no share of the slack in the first window after its start, but one retry
 * ahead of its requests: the process before it may have used the share, and the
 * other VMs are not known yet. A cascade's escalations leave a reserve for
 * failures.
 */
import {
  countInWindow,
  EMPTY_RETRY_WINDOW,
  retriesLeft,
  type RetryBound,
  type RetryWindow,
} from "../../decision/mod.ts";
import { type Clock } from "../../model/mod.ts";

/**
 * Why a request is sent again; `begun_answer` if it leaves a server that is
 * silent in the middle of its answer.
 */
export type RetryReason =
  | "failure"
  | "begun_answer"
  | "unmarked_end"
  | "escalation";

/** Used share of the limit: windows of servers and VMs are not aligned. */
const USED_SHARE = 0.92;
/** Share of a window's retries that escalations leave for failures. */
const FAILURE_RESERVE_SHARE = 0.25;
const MIN_FAILURE_RESERVE = 2;
/** For a next server that fails or refuses; without it the answer is cut. */
const BEGUN_ANSWER_RESERVE = 1;
/** Slack of a VM in its first window, so that its first request has a retry. */
const STARTING_SLACK = 1;

/** The retries that this VM may still send. */
export class RetryBudget {
  readonly #fleetBound: RetryBound;
  readonly #clock: Clock;
  readonly #vmCount: () => number | undefined;
  readonly #startedAtMs: number;
  readonly #windows = new Map<string, RetryWindow>();

  constructor(options: {
    /** The limit for all VMs together. */
    readonly fleetBound: RetryBound;
    readonly clock: Clock;
    /** The VMs that share the slack; `undefined` while they are not known. */
    readonly vmCount: () => number | undefined;
  }) {
    this.#fleetBound = options.fleetBound;
    this.#clock = options.clock;
    this.#startedAtMs = options.clock();
    this.#vmCount = options.vmCount;
  }

  /** Counts a caller's request, which adds to the budget. */
  earn(service: string): void {
    this.#count(service, "request");
  }

  /** Takes one retry from the budget; returns false if none is left. */
  spend(service: string, reason: RetryReason): boolean {
    const { leftCount, allowedCount } = retriesLeft(
      this.#windowOf(service),
      this.#options(),
    );
    if (leftCount - this.#reservedCount(reason, allowedCount) < 1) return false;
    this.#count(service, "repeat");
    return true;
  }

  #reservedCount(reason: RetryReason, allowedCount: number): number {
    if (reason === "failure") return 0;
    if (reason === "begun_answer") return BEGUN_ANSWER_RESERVE;
    return Math.max(this.#minReserve, FAILURE_RESERVE_SHARE * allowedCount);
  }

  #count(service: string, kind: "request" | "repeat"): void {
    const window = this.#windowOf(service);
    this.#windows.set(service, countInWindow(window, kind, this.#options()));
  }

  #windowOf(service: string): RetryWindow {
    return this.#windows.get(service) ?? EMPTY_RETRY_WINDOW;
  }

  #options(): { readonly bound: RetryBound; readonly nowMs: number } {
    const { ratio, windowMs } = this.#fleetBound;
    const bound = {
      ratio: ratio * USED_SHARE,
      slackCount: this.#slackCount(),
      windowMs,
    };
    return { bound, nowMs: this.#clock() };
  }

  /** This VM's part of the slack. */
  #slackCount(): number {
    const { slackCount } = this.#fleetBound;
    const vmCount = this.#vmCount();
    if (this.#isStarting || vmCount === undefined) {
      return Math.min(STARTING_SLACK, slackCount);
    }
    return USED_SHARE * slackCount / Math.max(1, vmCount);
  }

  get #isStarting(): boolean {
    return this.#clock() - this.#startedAtMs < this.#fleetBound.windowMs;
  }

  get #minReserve(): number {
    return this.#isStarting ? 0 : MIN_FAILURE_RESERVE;
  }
}
