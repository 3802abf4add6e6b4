/**
 * The attempts of one request so far: the servers used, how often the request
 * was sent and how often it may have run. Decides whether another attempt is
 * allowed.
 */
import { isRetriable, type ServiceRoute } from "../../model/mod.ts";
import { type AttemptOutcome } from "./attempt_outcome.ts";

/** Attempts beyond the route's limit, for servers that were not reached. */
const SPARE_ATTEMPTS = 2;

/** The attempt history of one request. */
export class AttemptHistory {
  readonly #route: ServiceRoute;
  readonly #maxRunCount: number;
  readonly #triedIds = new Set<string>();
  readonly #attempts: string[] = [];
  #attemptCount = 0;
  #sentCount = 0;
  #isLastUnsent = false;
  #runCount = 0;
  /** How often the current attempt may run. */
  #currentRunCount = 1;
  /** The event after which the last run closed without a mark, if it did. */
  #unmarkedId: number | undefined;
  /** The same of the run before it. */
  #earlierUnmarkedId: number | undefined;

  /** `maxRunCount` is what a VM that relays the request has left of its runs. */
  constructor(route: ServiceRoute, maxRunCount = Infinity) {
    this.#route = route;
    this.#maxRunCount = Math.min(route.maxAttempts, maxRunCount);
  }

  /**
   * How often another VM may have the request run: some of the runs left are
   * kept in case it fails.
   */
  get relayedRunCount(): number {
    return Math.max(1, Math.ceil((this.#maxRunCount - this.#runCount) / 2));
  }

  /** Servers already tried for the current model. */
  get triedIds(): ReadonlySet<string> {
    return this.#triedIds;
  }

  /** Attempt outcomes and escalations in order, as written to the log. */
  get attempts(): readonly string[] {
    return this.#attempts;
  }

  get attemptCount(): number {
    return this.#attemptCount;
  }

  /** Whether an ended attempt may have sent bytes of the request. */
  get wasSent(): boolean {
    return this.#sentCount > 0;
  }

  /**
   * Whether the last attempt reached no server, so that a retry taken for it is
   * left.
   */
  get isRetryLeft(): boolean {
    return this.wasSent && this.#isLastUnsent;
  }

  /** Whether a server may have run the request. */
  get mayHaveRun(): boolean {
    return this.#runCount > 0;
  }

  /** Records the start of an attempt, which may run several times at a VM. */
  addAttempt(serverId: string, runCount = 1): void {
    this.#currentRunCount = runCount;
    this.#attemptCount += 1;
    this.#triedIds.add(serverId);
  }

  /** Records the end of an attempt. */
  addOutcome(serverId: string, outcome: AttemptOutcome): void {
    const cause = "cause" in outcome ? outcome.cause : undefined;
    const isUnmarked = outcome.kind === "stream_end" && !outcome.head.isFramed;
    const detail = isUnmarked ? "unmarked_end" : cause ?? outcome.kind;
    this.#attempts.push(`${serverId}:${detail}`);
    const isUnsent = outcome.kind === "fault" && outcome.isUnsent;
    this.#isLastUnsent = isUnsent;
    if (!isUnsent) this.#sentCount += 1;
    if (!isUnsent && outcome.kind !== "not_run") {
      this.#runCount += this.#currentRunCount;
      this.#earlierUnmarkedId = this.#unmarkedId;
      this.#unmarkedId = undefined;
    }
    // The next attempt uses another model, for which no server was tried.
    if (outcome.kind === "dropped") this.#triedIds.clear();
  }

  /** Records that an answer is dropped for one of a larger model. */
  addEscalation(
    models: { readonly from: string; readonly to: string },
    confidence: number | undefined,
  ): void {
    this.#attempts.push(
      `escalate:${models.from}>${models.to}@${confidence}`,
    );
  }

  /**
   * Records that the run that has just ended closed a stream after an event
   * without a mark. Returns whether that completes the stream: where the request
   * may run again, only if the run before it closed after the same event.
   */
  recordUnmarkedEnd(lastId: number): boolean {
    this.#unmarkedId = lastId;
    return !isRetriable(this.#route) || this.#earlierUnmarkedId === lastId;
  }

  /** Whether the request may run once more after the current attempt. */
  mayRunAgain(): boolean {
    return this.#runCount + this.#currentRunCount < this.#maxRunCount;
  }

  /** Whether the current attempt may be ended for one at another server. */
  mayLeaveServer(): boolean {
    return this.mayRunAgain() && this.#hasAttemptLeft &&
      isRetriable(this.#route);
  }

  /** Whether another attempt is allowed after the last one has ended. */
  mayRetry(): boolean {
    if (!this.#hasAttemptLeft) return false;
    if (this.#runCount === 0) return true;
    return isRetriable(this.#route) &&
      this.#runCount < this.#maxRunCount;
  }

  get #hasAttemptLeft(): boolean {
    return this.#attemptCount < this.#route.maxAttempts + SPARE_ATTEMPTS;
  }
}
