/**
 * Client of the plain services. Each call is attempted once, on a new
 * connection if it must not be retried. The fault of a failed call shows
 * whether any byte of the request may have been sent.
 */
import { err, ok, type Result } from "neverthrow";
import { type Dispatcher } from "undici";
import { type ServiceRequest } from "../model/mod.ts";
import { type ConnectionOptions, ConnectionPools } from "./connection_pools.ts";
import { parseLoadReport, type ServerReport } from "./load_report.ts";
import { isUnsent, readBytes } from "./transport.ts";

/** Statuses of answers. */
const STATUSES = { first: 200, last: 599 } as const;
/** Answers that end with their head. */
const BODILESS_STATUSES: readonly number[] = [204, 304];

/** The reason why a service returned no answer. */
export type ServiceFault = "unreachable" | "silent" | "broken" | "cancelled";

/** A plain service returned no answer. */
export class ServiceError extends Error {
  override readonly name = "ServiceError";
  readonly fault: ServiceFault;

  constructor(fault: ServiceFault, message: string) {
    super(message);
    this.fault = fault;
  }
}

/** A plain service's answer, to be forwarded to the caller. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
  readonly report: ServerReport | undefined;
}

/** Target, cancellation, timeout and connection of one call. */
export interface ServiceCallOptions {
  readonly address: string;
  readonly signal: AbortSignal;
  readonly timeoutMs: number;
  /** Whether to open a new connection for this call. */
  readonly isFresh: boolean;
}

/** Calls of the plain services, as used by the filters. */
export interface ServiceTransport {
  call(
    request: ServiceRequest,
    options: ServiceCallOptions,
  ): Promise<Result<ServiceAnswer, ServiceError>>;
}

export interface ServiceClientOptions extends ConnectionOptions {
  readonly maxBodyBytes: number;
}

/** Calls plain services over HTTP. */
export class ServiceClient implements ServiceTransport {
  readonly #pools: ConnectionPools;
  readonly #maxBodyBytes: number;

  constructor(options: ServiceClientOptions) {
    this.#pools = new ConnectionPools(options);
    this.#maxBodyBytes = options.maxBodyBytes;
  }

  async call(
    request: ServiceRequest,
    options: ServiceCallOptions,
  ): Promise<Result<ServiceAnswer, ServiceError>> {
    const timeout = AbortSignal.timeout(Math.ceil(options.timeoutMs));
    const signal = AbortSignal.any([options.signal, timeout]);
    try {
      const response = await this.#pools.request({
        address: options.address,
        isFresh: options.isFresh,
        path: request.target,
        method: request.method as Dispatcher.HttpMethod,
        headers: headersOf(request),
        body: request.body.byteLength === 0 ? null : request.body,
        signal,
      });
      requireStatus(response);
      requireMarkedEnd(response, request.method);
      return ok(await this.#answerOf(response));
    } catch (cause) {
      const error = faultOf(cause, { timeout, caller: options.signal });
      if (error.fault === "silent") this.#pools.retire(options.address);
      return err(error);
    }
  }

  async #answerOf(response: Dispatcher.ResponseData): Promise<ServiceAnswer> {
    const load = response.headers["x-load"];
    const contentType = response.headers["content-type"];
    return {
      status: response.statusCode,
      contentType: typeof contentType === "string"
        ? contentType
        : "application/octet-stream",
      body: await readBytes(response.body, this.#maxBodyBytes),
      report: parseLoadReport(typeof load === "string" ? load : undefined),
    };
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#pools.close();
  }
}

/** Throws if the status is none, as a server in trouble may send. */
function requireStatus({ statusCode, body }: Dispatcher.ResponseData): void {
  if (statusCode >= STATUSES.first && statusCode <= STATUSES.last) return;
  body.on("error", () => {}).destroy();
  throw new Error(`status ${statusCode}`);
}

/**
 * Throws if only the end of its connection ends an answer: undici takes a reset
 * for such an end, so that the body may be a part.
 */
function requireMarkedEnd(
  { statusCode, headers, body }: Dispatcher.ResponseData,
  method: string,
): void {
  if (method === "HEAD" || BODILESS_STATUSES.includes(statusCode)) return;
  if (headers["content-length"] !== undefined) return;
  if (headers["transfer-encoding"] !== undefined) return;
  body.on("error", () => {}).destroy();
  throw new Error("the answer has neither a length nor chunks");
}

function headersOf(request: ServiceRequest): Record<string, string> {
  const headers: Record<string, string> = {
    "x-request-id": request.requestId,
  };
  if (request.body.byteLength > 0) {
    headers["content-type"] = request.contentType;
  }
  if (request.idempotencyKey !== undefined) {
    headers["idempotency-key"] = request.idempotencyKey;
  }
  return headers;
}

function faultOf(
  cause: unknown,
  signals: { readonly timeout: AbortSignal; readonly caller: AbortSignal },
): ServiceError {
  const message = cause instanceof Error ? cause.message : String(cause);
  if (isUnsent(cause)) return new ServiceError("unreachable", message);
  if (signals.caller.aborted) return new ServiceError("cancelled", message);
  if (signals.timeout.aborted) return new ServiceError("silent", message);
  return new ServiceError("broken", message);
}
