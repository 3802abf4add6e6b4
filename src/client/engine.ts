/**
 * Client of the model engines. A call returns a stream of frames, or an error
 * whose fault shows whether the engine may have run the request. Timeouts apply
 * before the first frame and between frames. A connection that times out is
 * destroyed and not reused.
 */
import { err, ok, type Result } from "neverthrow";
import { type Dispatcher } from "undici";
import { z } from "zod";
import {
  type AnswerFrame,
  type ChatMessage,
  type VersionName,
} from "../model/mod.ts";
import { type ConnectionOptions, ConnectionPools } from "./connection_pools.ts";
import { EventReader } from "./event_stream.ts";
import { parseLoadReport, type ServerReport } from "./load_report.ts";
import { isUnsent, readBounded } from "./transport.ts";
import { Watchdog } from "./watchdog.ts";

const MAX_ERROR_BYTES = 65_536;
const CANCEL_TIMEOUT_MS = 1000;

/** The reason why an engine's answer is missing or incomplete. */
export type EngineFault =
  /** No byte of the request was written. */
  | "unreachable"
  /** The engine refused the request without running it. */
  | "not_loaded"
  | "busy"
  | "leaving"
  /** A timeout before or between frames. */
  | "silent"
  /** The stream ended early or violated the protocol. */
  | "broken"
  /** The engine responded with another error. */
  | "rejected"
  /** The caller's signal cancelled the call. */
  | "cancelled";

/** An engine did not return a complete answer. */
export class EngineError extends Error {
  override readonly name = "EngineError";
  readonly fault: EngineFault;

  constructor(fault: EngineFault, message: string) {
    super(message);
    this.fault = fault;
  }
}

/** Whether a fault proves that the engine did not run the request. */
export function isNotExecuted(fault: EngineFault): boolean {
  return fault === "unreachable" || fault === "not_loaded" ||
    fault === "busy" || fault === "leaving";
}

/** One attempt to generate an answer. */
export interface GenerateCall {
  readonly address: string;
  readonly requestId: string;
  readonly attempt: number;
  readonly version: VersionName;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  readonly priority: number;
  readonly fromIndex: number;
  readonly prefix: string;
}

/** Cancellation, timeouts and connection of one attempt. */
export interface GenerateOptions {
  readonly signal: AbortSignal;
  readonly firstByteMs: number;
  readonly betweenTokensMs: number;
  /** Whether to open a new connection for this attempt. */
  readonly isFresh: boolean;
}

/** A started answer. An incomplete answer ends with an error as last item. */
export interface EngineStream {
  readonly report: ServerReport | undefined;
  readonly frames: AsyncIterable<Result<AnswerFrame, EngineError>>;
}

/** Calls of the engines, as used by the filters. */
export interface EngineTransport {
  generate(
    call: GenerateCall,
    options: GenerateOptions,
  ): Promise<Result<EngineStream, EngineError>>;
  /** Cancels a request; returns its output tokens, if reported. */
  cancel(address: string, requestId: string): Promise<number | undefined>;
}

const frameSchema = z.object({
  requestId: z.string(),
  attempt: z.number().int(),
  index: z.number().int(),
  text: z.string(),
  isLast: z.boolean(),
  usage: z.object({
    inputTokens: z.number().int().min(0),
    outputTokens: z.number().int().min(0),
  }).nullish(),
});

/** Calls engines over HTTP. */
export class EngineClient implements EngineTransport {
  readonly #pools: ConnectionPools;

  constructor(options: ConnectionOptions) {
    this.#pools = new ConnectionPools(options);
  }

  async generate(
    call: GenerateCall,
    options: GenerateOptions,
  ): Promise<Result<EngineStream, EngineError>> {
    const { address, ...body } = call;
    const watchdog = new Watchdog(options.firstByteMs, options.signal);
    watchdog.onTimeout = () => this.#pools.retire(address);
    try {
      const response = await this.#pools.request({
        address,
        isFresh: options.isFresh,
        path: "/v1/generate",
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
        signal: watchdog.signal,
      });
      if (response.statusCode !== 200) {
        const error = await errorOf(response);
        watchdog.stop();
        return err(error);
      }
      return ok(openStream(response, watchdog, options));
    } catch (cause) {
      watchdog.stop();
      return err(faultOf(cause, watchdog));
    }
  }

  async cancel(
    address: string,
    requestId: string,
  ): Promise<number | undefined> {
    try {
      const response = await this.#pools.request({
        address,
        isFresh: false,
        path: `/v1/requests/${encodeURIComponent(requestId)}`,
        method: "DELETE",
        signal: AbortSignal.timeout(CANCEL_TIMEOUT_MS),
      });
      const text = await readBounded(response.body, MAX_ERROR_BYTES);
      const parsed = cancelSchema.safeParse(JSON.parse(text));
      return parsed.success ? parsed.data.outputTokens : undefined;
    } catch {
      return undefined;
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#pools.close();
  }
}

const cancelSchema = z.object({ outputTokens: z.number().int().min(0) });

async function errorOf(
  response: Dispatcher.ResponseData,
): Promise<EngineError> {
  const status = response.statusCode;
  const text = await readBounded(response.body, MAX_ERROR_BYTES);
  if (status === 404 && text.includes("not_loaded")) {
    return new EngineError("not_loaded", "the version is not loaded");
  }
  if (status === 503 && text.includes("busy")) {
    return new EngineError("busy", "the engine's queue is full");
  }
  if (status === 410) return new EngineError("leaving", "engine is leaving");
  return new EngineError("rejected", `the engine responded with ${status}`);
}

function openStream(
  response: Dispatcher.ResponseData,
  watchdog: Watchdog,
  options: GenerateOptions,
): EngineStream {
  const header = response.headers["x-load"];
  return {
    report: parseLoadReport(typeof header === "string" ? header : undefined),
    frames: readFrames(response, watchdog, options),
  };
}

async function* readFrames(
  response: Dispatcher.ResponseData,
  watchdog: Watchdog,
  options: GenerateOptions,
): AsyncGenerator<Result<AnswerFrame, EngineError>> {
  const reader = new EventReader();
  try {
    for await (const chunk of response.body) {
      for (const data of reader.push(chunk as Uint8Array)) {
        const frame = parseFrame(data);
        watchdog.pause();
        yield frame;
        if (frame.isErr()) return;
        watchdog.resume(options.betweenTokensMs);
      }
    }
    yield err(
      new EngineError("broken", "the stream ended before its last frame"),
    );
  } catch (cause) {
    yield err(faultOf(cause, watchdog));
  } finally {
    watchdog.stop();
    response.body.destroy();
  }
}

function parseFrame(data: string): Result<AnswerFrame, EngineError> {
  try {
    const parsed = frameSchema.safeParse(JSON.parse(data));
    if (parsed.success) {
      return ok({ ...parsed.data, usage: parsed.data.usage ?? undefined });
    }
  } catch {
    // Falls through to the error for a malformed frame.
  }
  return err(new EngineError("broken", "a frame is malformed"));
}

function faultOf(cause: unknown, watchdog: Watchdog): EngineError {
  if (watchdog.isTimedOut) {
    return new EngineError(
      "silent",
      "the engine sent nothing within the timeout",
    );
  }
  if (watchdog.signal.aborted) {
    return new EngineError("cancelled", "the call was cancelled");
  }
  const message = cause instanceof Error ? cause.message : String(cause);
  if (isUnsent(cause)) return new EngineError("unreachable", message);
  return new EngineError("broken", message);
}
