/**
 * Stand-in for the platform's rating service. A score is the version's
 * configured quality plus seeded noise; a low-quality answer scores a third.
 */
import { z } from "zod";
import { LOW_QUALITY_MARK } from "./answer_text.ts";
import {
  type Call,
  HttpHost,
  type ListenOptions,
  pause,
  sendError,
  sendJson,
  type Standin,
} from "./http_host.ts";
import { createRandom, hash32 } from "./random.ts";

const MAX_RECORDED_COUNT = 200_000;

const ratingSchema = z.object({
  requestId: z.string(),
  version: z.string(),
  requestClass: z.string(),
  prompt: z.string(),
  answer: z.string(),
});

/** Options of the service. */
export interface RatingOptions {
  /** Mean score of each version; `defaultShare` applies to any other. */
  readonly qualityShares?: Readonly<Record<string, number>>;
  readonly defaultShare?: number;
  /** Half the width of the uniform noise. */
  readonly noiseShare?: number;
  readonly seed?: number;
}

/** Fault switches and mean scores; they can be changed while it runs. */
export interface RatingSwitches {
  isDown: boolean;
  delayMs: number;
  qualityShares: Record<string, number>;
}

/** A requested rating and its score. */
export interface RecordedRating {
  readonly requestId: string;
  readonly version: string;
  readonly scoreShare: number;
}

/** Stand-in for the rating service. */
export class RatingStandin implements Standin {
  readonly switches: RatingSwitches;
  readonly recorded: RecordedRating[] = [];
  readonly #host: HttpHost;
  readonly #options: RatingOptions;

  constructor(options: RatingOptions) {
    this.#options = options;
    this.switches = {
      isDown: false,
      delayMs: 0,
      qualityShares: { ...options.qualityShares },
    };
    this.#host = new HttpHost((call) => this.#serve(call));
  }

  listen(options?: ListenOptions): Promise<string> {
    return this.#host.listen(options);
  }

  close(): Promise<void> {
    return this.#host.close();
  }

  /** Returns the score of an answer that isn't marked as low quality. */
  scoreOf(requestId: string, version: string): number {
    const mean = this.switches.qualityShares[version] ??
      this.#options.defaultShare ?? 0.8;
    const seed = hash32(`${requestId} ${version} ${this.#options.seed ?? 1}`);
    const noise = (createRandom(seed)() * 2 - 1) *
      (this.#options.noiseShare ?? 0.1);
    return Math.min(1, Math.max(0, mean + noise));
  }

  async #serve(call: Call): Promise<void> {
    await pause(this.switches.delayMs);
    if (this.switches.isDown) return sendError(call.response, 503, "outage");
    if (call.method !== "POST" || call.url.pathname !== "/ratings") {
      return sendError(call.response, 404, "no such path");
    }
    const input = ratingSchema.parse(JSON.parse(call.body));
    const fullScore = this.scoreOf(input.requestId, input.version);
    const scoreShare = input.answer.includes(LOW_QUALITY_MARK)
      ? fullScore / 3
      : fullScore;
    const { requestId, version } = input;
    if (this.recorded.length < MAX_RECORDED_COUNT) {
      this.recorded.push({ requestId, version, scoreShare });
    }
    sendJson(call.response, 200, { scoreShare });
  }
}

export function createRating(options: RatingOptions = {}): RatingStandin {
  return new RatingStandin(options);
}
