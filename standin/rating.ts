/**
 * The platform's rating service. A score is the version's set quality with
 * seeded noise; an answer with marks of poor quality scores a third of it.
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

/** How the service is set up. */
export interface RatingOptions {
  /** Mean score of each version; others score `defaultShare`. */
  readonly qualityShares?: Readonly<Record<string, number>>;
  readonly defaultShare?: number;
  /** Half the width of the uniform noise. */
  readonly noiseShare?: number;
  readonly seed?: number;
}

/** Faults of the service; `qualityShares` can be changed at any time. */
export interface RatingSwitches {
  isDown: boolean;
  delayMs: number;
  qualityShares: Record<string, number>;
}

/** One rating that was asked for. */
export interface RecordedRating {
  readonly requestId: string;
  readonly version: string;
  readonly scoreShare: number;
}

/** The rating service's stand-in. */
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

  /** The score that a request's answer of a version gets. */
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
    const asked = ratingSchema.parse(JSON.parse(call.body));
    const whole = this.scoreOf(asked.requestId, asked.version);
    const scoreShare = asked.answer.includes(LOW_QUALITY_MARK)
      ? whole / 3
      : whole;
    const { requestId, version } = asked;
    if (this.recorded.length < MAX_RECORDED_COUNT) {
      this.recorded.push({ requestId, version, scoreShare });
    }
    sendJson(call.response, 200, { scoreShare });
  }
}

/** Creates a rating service. */
export function createRating(options: RatingOptions = {}): RatingStandin {
  return new RatingStandin(options);
}
