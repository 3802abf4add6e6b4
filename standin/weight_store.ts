/** Stand-in for the platform's weight store: version sizes, rate-limited. */
import {
  type Call,
  HttpHost,
  type ListenOptions,
  pause,
  sendError,
  sendJson,
  type Standin,
} from "./http_host.ts";
import { TokenBucket } from "./token_bucket.ts";

/** Options of the weight store. */
export interface WeightStoreOptions {
  /** Size of each version in megabytes. */
  readonly sizesMb: Readonly<Record<string, number>>;
  readonly readsPerSecond?: number;
}

/** Stand-in for the weight store. */
export class WeightStoreStandin implements Standin {
  readonly switches = { isDown: false, delayMs: 0 };
  readonly recorded = { readCount: 0, refusedCount: 0 };
  readonly #host: HttpHost;
  readonly #bucket: TokenBucket;
  readonly #sizesMb: Readonly<Record<string, number>>;

  constructor(options: WeightStoreOptions) {
    this.#sizesMb = options.sizesMb;
    this.#bucket = new TokenBucket(options.readsPerSecond ?? 5);
    this.#host = new HttpHost((call) => this.#serve(call));
  }

  listen(options?: ListenOptions): Promise<string> {
    return this.#host.listen(options);
  }

  close(): Promise<void> {
    return this.#host.close();
  }

  async #serve(call: Call): Promise<void> {
    await pause(this.switches.delayMs);
    if (this.switches.isDown) return sendError(call.response, 503, "outage");
    if (!this.#bucket.take()) {
      this.recorded.refusedCount += 1;
      return sendError(call.response, 429, "read rate");
    }
    const version = decodeURIComponent(call.url.pathname.slice(9));
    const sizeMb = this.#sizesMb[version];
    if (sizeMb === undefined) return sendError(call.response, 404, "unknown");
    this.recorded.readCount += 1;
    sendJson(call.response, 200, { version, sizeMb });
  }
}

export function createWeightStore(
  options: WeightStoreOptions,
): WeightStoreStandin {
  return new WeightStoreStandin(options);
}
