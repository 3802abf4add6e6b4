/**
 * Client of the weight store. Placement looks up the size of a version before
 * it orders a load. Beyond its rate limit the store responds with the time
 * after which to retry.
 */
import { err, ok, type Result } from "neverthrow";
import { Agent, request } from "undici";
import { z } from "zod";
import { type VersionName } from "../model/mod.ts";

/** Size of a version's weights in the store. */
export interface WeightInfo {
  readonly version: VersionName;
  readonly sizeMb: number;
}

/** The reason why a lookup failed. */
export type WeightStoreFault =
  | "rate_limited"
  | "unknown_version"
  | "unavailable";

/** A failed lookup. */
export class WeightStoreError extends Error {
  override readonly name = "WeightStoreError";
  readonly fault: WeightStoreFault;
  /** Delay before the next attempt. */
  readonly retryAfterMs: number;

  constructor(
    fault: WeightStoreFault,
    options: { readonly message: string; readonly retryAfterMs: number },
  ) {
    super(options.message);
    this.fault = fault;
    this.retryAfterMs = options.retryAfterMs;
  }
}

/** Looks up the weights of versions. */
export interface WeightStoreClient {
  lookup(version: VersionName): Promise<Result<WeightInfo, WeightStoreError>>;
  /** Closes the client; resolves when calls in flight have ended. */
  close(): Promise<void>;
}

/** Address and call timeout of the weight store. */
export interface WeightStoreOptions {
  /** Origin of the store, such as http://127.0.0.1:8080. */
  readonly origin: string;
  readonly timeoutMs: number;
}

const MAX_RESPONSE_BYTES = 65_536;
const DEFAULT_RETRY_AFTER_MS = 5000;
const MS_PER_S = 1000;

const infoSchema = z.object({ sizeMb: z.number().min(0) });

/** Creates a client of the weight store. */
export function createWeightStoreClient(
  options: WeightStoreOptions,
): WeightStoreClient {
  const { timeoutMs } = options;
  const agent = new Agent({
    connections: 2,
    connect: { timeout: timeoutMs },
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
    maxResponseSize: MAX_RESPONSE_BYTES,
  });

  async function lookup(
    version: VersionName,
  ): Promise<Result<WeightInfo, WeightStoreError>> {
    const path = `/weights/${version}`;
    try {
      const response = await request(`${options.origin}${path}`, {
        dispatcher: agent,
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = await response.body.text();
      if (response.statusCode === 200) return decode(version, text);
      const retryAfter = response.headers["retry-after"];
      return err(refusalOf(response.statusCode, Number(retryAfter)));
    } catch (error) {
      return err(unavailable(String(error)));
    }
  }

  return { lookup, close: () => agent.close() };
}

function decode(
  version: VersionName,
  text: string,
): Result<WeightInfo, WeightStoreError> {
  try {
    return ok({ version, sizeMb: infoSchema.parse(JSON.parse(text)).sizeMb });
  } catch {
    return err(unavailable("the response has no valid sizeMb"));
  }
}

function refusalOf(status: number, retryAfterS: number): WeightStoreError {
  const retryAfterMs = Number.isFinite(retryAfterS)
    ? retryAfterS * MS_PER_S
    : DEFAULT_RETRY_AFTER_MS;
  const message = `the weight store responded with ${status}`;
  if (status === 429) {
    return new WeightStoreError("rate_limited", { message, retryAfterMs });
  }
  if (status === 404) {
    return new WeightStoreError("unknown_version", { message, retryAfterMs });
  }
  return unavailable(message);
}

function unavailable(message: string): WeightStoreError {
  return new WeightStoreError("unavailable", {
    message,
    retryAfterMs: DEFAULT_RETRY_AFTER_MS,
  });
}
