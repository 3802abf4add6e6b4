/**
 * Client of the platform's log service. Each call is attempted once; a failure
 * states whether the call may have had an effect. Retries are up to the writer
 * and the tail.
 */
import { err, ok, type Result } from "neverthrow";
import { Agent, request as undiciRequest } from "undici";
import { z } from "zod";
import { type RawEntry } from "../state/mod.ts";

/** One HTTP call of the log service. */
export interface LogCall {
  readonly method: "GET" | "POST";
  /** Path and query below the log service's own address. */
  readonly target: string;
  readonly body: string | undefined;
  /** Timeout for receiving the complete response. */
  readonly timeoutMs: number;
  readonly signal: AbortSignal | undefined;
}

/** An HTTP response of any status. */
export interface LogAnswer {
  readonly status: number;
  /** Value of the `Retry-After` header, if present. */
  readonly retryAfterMs: number | undefined;
  readonly body: string;
}

/** A failed call of the log service. */
export interface LogFailure {
  /** `refused`: had no effect. `lost`: may have had an effect. */
  readonly kind: "refused" | "lost";
  readonly message: string;
  readonly retryAfterMs: number;
}

/** Sends one call to the log service. */
export type LogTransport = (
  call: LogCall,
) => Promise<Result<LogAnswer, LogFailure>>;

/** A page of a stream. */
export interface LogPage {
  /** The oldest offset that the log retains. */
  readonly first: number;
  /** The offset of the next append. */
  readonly next: number;
  readonly entries: readonly RawEntry[];
}

/** Range and long-poll time of a read. */
export interface ReadOptions {
  readonly from: number;
  readonly limit: number;
  /** Long-poll time: how long the service may wait for a first record. */
  readonly waitMs: number;
  readonly signal?: AbortSignal;
}

/** Timeout of a call, on top of its long-poll time. */
const CALL_TIMEOUT_MS = 2000;
const CONNECT_TIMEOUT_MS = 1000;
const KEEP_ALIVE_MS = 10_000;
const MAX_ANSWER_BYTES = 32 * 1024 * 1024;
const MAX_RETRY_AFTER_MS = 5000;
const MS_PER_S = 1000;

const appendedSchema = z.object({ offset: z.number().int().min(0) });

const pageSchema = z.object({
  first: z.number().int().min(0),
  next: z.number().int().min(0),
  records: z.array(
    z.object({ offset: z.number().int().min(0), payload: z.string() }),
  ),
});

/** Reads and appends over the log service's HTTP interface. */
export class LogClient {
  readonly #transport: LogTransport;

  constructor(transport: LogTransport) {
    this.#transport = transport;
  }

  /** Appends one payload and returns its offset. */
  async append(
    stream: string,
    payload: string,
  ): Promise<Result<number, LogFailure>> {
    const answer = await this.#transport({
      method: "POST",
      target: `/streams/${stream}/records`,
      body: JSON.stringify({ payload }),
      timeoutMs: CALL_TIMEOUT_MS,
      signal: undefined,
    });
    return answer.andThen((reply) => decode(reply, appendedSchema)).map((
      appended,
    ) => appended.offset);
  }

  /** Reads a page of a stream. */
  async read(
    stream: string,
    options: ReadOptions,
  ): Promise<Result<LogPage, LogFailure>> {
    const { from, limit, waitMs } = options;
    const answer = await this.#transport({
      method: "GET",
      target:
        `/streams/${stream}/records?from=${from}&limit=${limit}&waitMs=${waitMs}`,
      body: undefined,
      timeoutMs: waitMs + CALL_TIMEOUT_MS,
      signal: options.signal,
    });
    return answer.andThen((reply) => decode(reply, pageSchema)).map((page) => ({
      first: page.first,
      next: page.next,
      entries: page.records,
    }));
  }
}

function decode<T>(
  answer: LogAnswer,
  schema: z.ZodType<T>,
): Result<T, LogFailure> {
  if (answer.status === 429 || answer.status === 503) {
    return err({
      kind: "refused",
      message: `the log service responded with ${answer.status}`,
      retryAfterMs: answer.retryAfterMs ?? 0,
    });
  }
  if (answer.status !== 200) {
    return err(lost(`the log service responded with ${answer.status}`));
  }
  const parsed = schema.safeParse(parseJson(answer.body));
  if (!parsed.success) return err(lost("the log's response is malformed"));
  return ok(parsed.data);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function lost(message: string): LogFailure {
  return { kind: "lost", message, retryAfterMs: 0 };
}

/** A transport over HTTP and its shutdown function. */
export interface HttpLogTransport {
  readonly send: LogTransport;
  close(): Promise<void>;
}

/**
 * Creates a transport to the log service at `logUrl`. A connection on which a
 * call times out is destroyed, so the next call opens a new one.
 */
export function createLogTransport(logUrl: string): HttpLogTransport {
  const agent = new Agent({
    connectTimeout: CONNECT_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_MS,
    maxResponseSize: MAX_ANSWER_BYTES,
    pipelining: 1,
  });
  return {
    send: (call) => send(agent, new URL(call.target, logUrl), call),
    close: () => agent.destroy(),
  };
}

async function send(
  agent: Agent,
  url: URL,
  call: LogCall,
): Promise<Result<LogAnswer, LogFailure>> {
  try {
    const answer = await undiciRequest(url, {
      dispatcher: agent,
      method: call.method,
      body: call.body ?? null,
      headers: { "content-type": "application/json" },
      headersTimeout: call.timeoutMs,
      bodyTimeout: call.timeoutMs,
      signal: call.signal ?? null,
    });
    return ok({
      status: answer.statusCode,
      retryAfterMs: retryAfterOf(answer.headers["retry-after"]),
      body: await answer.body.text(),
    });
  } catch (error) {
    return err(failureOf(error));
  }
}

function retryAfterOf(
  header: string | string[] | undefined,
): number | undefined {
  const seconds = Number(header);
  if (header === undefined || !Number.isFinite(seconds)) return undefined;
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(0, seconds * MS_PER_S));
}

/** Errors raised before a connection is established: nothing was sent. */
const UNSENT_CODES: readonly string[] = [
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EAI_AGAIN",
  "UND_ERR_CONNECT_TIMEOUT",
];

function failureOf(error: unknown): LogFailure {
  const code = (error as { code?: unknown }).code;
  const message = error instanceof Error ? error.message : String(error);
  const isUnsent = typeof code === "string" && UNSENT_CODES.includes(code);
  return {
    kind: isUnsent ? "refused" : "lost",
    message: message === "" ? String(code) : message,
    retryAfterMs: 0,
  };
}
