/**
 * Client of the rating service. To bound the delay of an answer, each call has
 * a short timeout and the number of concurrent calls is limited. After
 * consecutive failures calls fail immediately as "unavailable" until a probe
 * succeeds.
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

/** The reason why an answer was not rated. */
export type RatingFault =
  /** The circuit breaker is open; no call was sent. */
  | "unavailable"
  /** Too many calls are running; no call was sent. */
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
  /** Whether the circuit breaker would let a call pass now. */
  isAvailable(): boolean;
  /** Closes immediately; calls in flight fail. */
  close(): Promise<void>;
}

/** Address and limits of the rating service. */
export interface RatingOptions {
  /** Origin of the service, such as http://127.0.0.1:8080. */
  readonly origin: string;
  readonly timeoutMs: number;
  readonly maxConcurrent: number;
  readonly clock: Clock;
  /** Creates a call's timeout signal; `AbortSignal.timeout` by default. */
  readonly timeoutSignal?: (timeoutMs: number) => AbortSignal;
}

/** Maximum length sent: the end of the prompt, the start of the answer. */
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
      return err(
        new RatingError(
          "unavailable",
          "the circuit breaker of the rating service is open",
        ),
      );
    }
    if (runningCount >= options.maxConcurrent) {
      return err(new RatingError("busy", `${runningCount} calls are running`));
    }
    record("probe_sent");
    runningCount += 1;
    const rated = await send(rating);
    runningCount -= 1;
    record(rated.isOk() ? "success" : "failure");
    return rated;
  }

  function record(event: "probe_sent" | "success" | "failure"): void {
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
    return err(
      new RatingError("refused", `the rating service responded with ${status}`),
    );
  }
  try {
    return ok(responseSchema.parse(JSON.parse(text)).scoreShare);
  } catch {
    return err(
      new RatingError("malformed", "the response has no valid scoreShare"),
    );
  }
}
