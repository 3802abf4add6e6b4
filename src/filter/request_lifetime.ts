/**
 * The life of one request: its deadline, and the one signal that ends its work
 * when the caller has gone, the deadline has passed or its version is stopped.
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

/** Why a request's work was ended. */
export type RequestEndReason = "caller_gone" | "deadline" | "withdrawn";

/** Whether a request can have run, and whether it must not run twice. */
export interface RunState {
  readonly hasRun: boolean;
  readonly isKeyed: boolean;
}

/** The effects and the deadline of a life. */
export interface RequestLifetimeOptions {
  readonly clock: Clock;
  readonly sleep: Sleep;
  readonly deadlineMs: number;
}

/** The deadline and the signal of one request. */
export class RequestLifetime {
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly #clock: Clock;
  readonly #controller = new AbortController();
  readonly #timer = new AbortController();
  #end: RequestEndReason | undefined;

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

  /** Aborts when the work must end. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Why the work was ended; a passed deadline counts before its timer. */
  get endReason(): RequestEndReason | undefined {
    if (this.#end === undefined && this.leftMs() <= 0) return "deadline";
    return this.#end;
  }

  /** Time left until the deadline. */
  leftMs(): number {
    return this.deadlineAtMs - this.#clock();
  }

  /** Ends the work; the first reason counts. */
  end(reason: RequestEndReason): void {
    if (this.#end !== undefined) return;
    this.#end = reason;
    this.#timer.abort();
    this.#controller.abort();
  }

  /** Frees the timer once the request is answered. */
  close(): void {
    this.#timer.abort();
  }
}

/** The refusal of a request whose life has ended, if it has. */
export function endRefusal(
  life: RequestLifetime,
  knowledge: RunState,
): Refusal | undefined {
  const ending = life.endReason;
  if (ending === undefined) return undefined;
  return createRefusal(reasonOf(ending), {
    ...knowledge,
    detail: `the request was ended: ${ending}`,
  });
}

/** A refusal whose outcome says what is known of the run. */
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

function reasonOf(ending: RequestEndReason): RefusalReason {
  switch (ending) {
    case "caller_gone":
      return "cancelled";
    case "deadline":
      return "deadline_exceeded";
    case "withdrawn":
      return "version_withdrawn";
  }
}
