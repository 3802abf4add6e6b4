/**
 * The lifetime of one request: its deadline, and the signal that cancels its
 * work when the caller disconnects, the deadline passes or its version is
 * withdrawn with "stop".
 */
import {
  type Clock,
  failed,
  mayHaveRun,
  notRun,
  type Refusal,
  type RefusalReason,
  type Sleep,
} from "../model/mod.ts";

/** Why the work on a request was ended early. */
export type RequestEndReason = "caller_gone" | "deadline" | "withdrawn";

/** Whether a request may have run, and whether it must not run twice. */
export interface RunState {
  readonly hasRun: boolean;
  readonly isKeyed: boolean;
}

/** Options of a `RequestLifetime`. */
export interface RequestLifetimeOptions {
  readonly clock: Clock;
  readonly sleep: Sleep;
  readonly deadlineMs: number;
}

/** Deadline and cancellation signal of one request. */
export class RequestLifetime {
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly #clock: Clock;
  readonly #controller = new AbortController();
  readonly #timer = new AbortController();
  #endReason: RequestEndReason | undefined;

  constructor(options: RequestLifetimeOptions) {
    this.#clock = options.clock;
    this.arrivedAtMs = options.clock();
    this.deadlineAtMs = this.arrivedAtMs + options.deadlineMs;
    options.sleep(options.deadlineMs, this.#timer.signal).then(
      () => {
        if (!this.#timer.signal.aborted) this.end("deadline");
      },
      () => {},
    );
  }

  /** Aborts when the work on the request must stop. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /**
   * Why the work was ended, if it was. Reports a passed deadline even if its
   * timer has not fired yet.
   */
  get endReason(): RequestEndReason | undefined {
    if (this.#endReason === undefined && this.leftMs() <= 0) return "deadline";
    return this.#endReason;
  }

  /** Time left until the deadline. */
  leftMs(): number {
    return this.deadlineAtMs - this.#clock();
  }

  /** Ends the work; only the first call sets the reason. */
  end(reason: RequestEndReason): void {
    if (this.#endReason !== undefined) return;
    this.#endReason = reason;
    this.#timer.abort();
    this.#controller.abort();
  }

  /** Cancels the deadline timer of an answered request. */
  close(): void {
    this.#timer.abort();
  }
}

/** Returns the refusal of a request that was ended, `undefined` otherwise. */
export function endRefusal(
  lifetime: RequestLifetime,
  runState: RunState,
): Refusal | undefined {
  const endReason = lifetime.endReason;
  if (endReason === undefined) return undefined;
  return createRefusal(reasonOf(endReason), {
    ...runState,
    detail: `the request was ended: ${endReason}`,
  });
}

/**
 * Creates a refusal whose outcome states whether the request may have run. A
 * retry delay is dropped if a request that must not run twice may have run.
 */
export function createRefusal(
  reason: RefusalReason,
  options: RunState & {
    readonly detail: string;
    readonly retryAfterMs?: number;
  },
): Refusal {
  const { hasRun, isKeyed, ...rest } = options;
  if (!hasRun) return notRun(reason, rest);
  if (isKeyed) return mayHaveRun(reason, { detail: rest.detail });
  return failed(reason, rest);
}

function reasonOf(endReason: RequestEndReason): RefusalReason {
  switch (endReason) {
    case "caller_gone":
      return "cancelled";
    case "deadline":
      return "deadline_exceeded";
    case "withdrawn":
      return "version_withdrawn";
  }
}
