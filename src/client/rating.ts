/**
 * Client of the rating service. It never holds an answer back for long: each
 * call has a short timeout, few run at a time, and after failures in a row the
 * client answers "unavailable" at once until a probe succeeds.
 */
import { err, ok, type Result } from "neverthrow";
import { Agent, request } from "undici";
import { z } from "zod";
import {
  applyBreaker,
  type BreakerLimits,
  CLOSED_BREAKER,
  isBreakerPassing,
} from "../decision/mod.ts";
import {
  type Clock,
  type RequestClass,
  type VersionName,
} from "../model/mod.ts";

/** An answer to be rated. */
export interface RatingRequest {
  readonly requestId: string;
  readonly version: VersionName;
  readonly requestClass: RequestClass;
  readonly prompt: string;
  readonly answer: string;
}

/** Why an answer was not rated. */
export type RatingFault =
  /** Earlier calls failed; the service was not asked. */
  | "unavailable"
  /** Too many calls are running; the service was not asked. */
  | "busy"
  | "timeout"
  | "refused"
  | "malformed";

/** An answer that was not rated. */
export class RatingError extends Error {
  override readonly name = "RatingError";
  readonly fault: RatingFault;

  constructor(fault: RatingFault, message: string) {
    super(message);
    this.fault = fault;
  }
}

/** Rates answers. */
export interface RatingClient {
  /** The score of an answer as a share in [0, 1]. */
  rate(rating: RatingRequest): Promise<Result<number, RatingError>>;
  /** Whether a call made now would be sent. */
  isAvailable(): boolean;
  /** Ends at once; calls in flight fail. */
  close(): Promise<void>;
}

/** Where the service is and how long a call may take. */
export interface RatingOptions {
  /** Origin of the service, such as http://127.0.0.1:8080. */
  readonly origin: string;
  readonly timeoutMs: number;
  readonly maxConcurrent: number;
  readonly clock: Clock;
  /** Time limits on a call; the clock's own by default. */
  readonly timeoutSignal?: (timeoutMs: number) => AbortSignal;
}

/** Text of prompt and answer beyond this length is not sent. */
const MAX_TEXT_CHARS = 65_536;
const MAX_RESPONSE_BYTES = 65_536;

const BREAKER_LIMITS: BreakerLimits = {
  failuresToOpen: 3,
  firstPauseMs: 1000,
  longestPauseMs: 15_000,
};

const responseSchema = z.object({ scoreShare: z.number().min(0).max(1) });

/** Creates a client of the rating service. */
export function createRatingClient(options: RatingOptions): RatingClient {
  const { clock, timeoutMs } = options;
  const timeoutSignal = options.timeoutSignal ?? AbortSignal.timeout;
  const agent = new Agent({
    connections: options.maxConcurrent,
    connect: { timeout: timeoutMs },
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
    maxResponseSize: MAX_RESPONSE_BYTES,
  });
  let breaker = CLOSED_BREAKER;
  let runningCount = 0;

  async function rate(
    rating: RatingRequest,
  ): Promise<Result<number, RatingError>> {
    if (!isBreakerPassing(breaker, clock())) {
      return err(new RatingError("unavailable", "the rating service is down"));
    }
    if (runningCount >= options.maxConcurrent) {
      return err(new RatingError("busy", `${runningCount} ratings running`));
    }
    note("probe_sent");
    runningCount += 1;
    const rated = await send(rating);
    runningCount -= 1;
    note(rated.isOk() ? "success" : "failure");
    return rated;
  }

  function note(event: "probe_sent" | "success" | "failure"): void {
    const nowMs = clock();
    breaker = applyBreaker(breaker, event, { nowMs, limits: BREAKER_LIMITS });
  }

  async function send(
    rating: RatingRequest,
  ): Promise<Result<number, RatingError>> {
    try {
      const response = await request(`${options.origin}/ratings`, {
        method: "POST",
        dispatcher: agent,
        headers: { "content-type": "application/json" },
        body: JSON.stringify({
          ...rating,
          prompt: rating.prompt.slice(-MAX_TEXT_CHARS),
          answer: rating.answer.slice(0, MAX_TEXT_CHARS),
        }),
        signal: timeoutSignal(timeoutMs),
      });
      const text = await response.body.text();
      return decode(response.statusCode, text);
    } catch (error) {
      return err(new RatingError("timeout", String(error)));
    }
  }

  return {
    rate,
    isAvailable: () => isBreakerPassing(breaker, clock()),
    close: () => agent.destroy(),
  };
}

function decode(status: number, text: string): Result<number, RatingError> {
  if (status !== 200) {
    return err(new RatingError("refused", `the service answered ${status}`));
  }
  try {
    return ok(responseSchema.parse(JSON.parse(text)).scoreShare);
  } catch {
    return err(new RatingError("malformed", "the answer has no scoreShare"));
  }
}
