/**
 * The tries of one request so far: which servers were asked, how often the
 * request was sent and how often it may have run. From this follows whether
 * another try is allowed.
 */
import { isRetriable, type ServiceRoute } from "../model/mod.ts";
import { type AttemptOutcome } from "./server_attempt.ts";

/** Tries beyond the route's attempts, for servers that were never reached. */
const SPARE_TRIES = 2;

/** The tries of one request. */
export class AttemptHistory {
  readonly #route: ServiceRoute;
  readonly #triedIds = new Set<string>();
  readonly #trail: string[] = [];
  #tryCount = 0;
  #sentCount = 0;
  #runCount = 0;

  constructor(route: ServiceRoute) {
    this.#route = route;
  }

  /** Servers that were asked for the answer that is sought now. */
  get triedIds(): ReadonlySet<string> {
    return this.#triedIds;
  }

  /** What came of each try, in words for the log. */
  get attemptSummaries(): readonly string[] {
    return this.#trail;
  }

  get attemptCount(): number {
    return this.#tryCount;
  }

  /** Whether any byte of the request has left. */
  get wasSent(): boolean {
    return this.#sentCount > 0;
  }

  /** Whether some server may have run the request. */
  get mayHaveRun(): boolean {
    return this.#runCount > 0;
  }

  /** A server is asked. */
  recordAttempt(serverId: string): void {
    this.#tryCount += 1;
    this.#triedIds.add(serverId);
  }

  /** A try has ended. */
  recordOutcome(serverId: string, outcome: AttemptOutcome): void {
    const detail = outcome.kind === "fault" ? outcome.cause : outcome.kind;
    this.#trail.push(`${serverId}:${detail}`);
    const isUnsent = outcome.kind === "fault" && outcome.isUnsent;
    if (!isUnsent) this.#sentCount += 1;
    if (!isUnsent && outcome.kind !== "not_run") this.#runCount += 1;
    // Another model is asked next, for which no server has been tried.
    if (outcome.kind === "dropped") this.#triedIds.clear();
  }

  /** An answer is given up for one of a larger model. */
  recordEscalation(
    models: { readonly from: string; readonly to: string },
    confidence: number | undefined,
  ): void {
    this.#trail.push(`escalate:${models.from}>${models.to}@${confidence}`);
  }

  /** Whether the running try may be followed by one more that runs. */
  mayRunAgain(): boolean {
    return this.#runCount + 1 < this.#route.maxAttempts;
  }

  /** Whether the running try may be given up for one at another server. */
  mayLeaveServer(): boolean {
    return this.mayRunAgain() && this.#hasTryLeft &&
      isRetriable(this.#route);
  }

  /** Whether another server may be asked after the last try has ended. */
  mayAttemptAgain(): boolean {
    if (!this.#hasTryLeft) return false;
    if (this.#runCount === 0) return true;
    return isRetriable(this.#route) &&
      this.#runCount < this.#route.maxAttempts;
  }

  get #hasTryLeft(): boolean {
    return this.#tryCount < this.#route.maxAttempts + SPARE_TRIES;
  }
}
