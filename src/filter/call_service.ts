/**
 * Terminal handler of the filter chain for plain services. A GET or HEAD
 * without an idempotency key may be retried on another server within the retry
 * budget. Any other call goes to another server only if no byte of it was
 * written, because it may have an effect.
 */
import { err, ok, type Result } from "neverthrow";
import {
  type Clock,
  type Metrics,
  type Refusal,
  type ServiceRequest,
} from "../model/mod.ts";
import {
  type ServerReport,
  type ServiceAnswer,
  type ServiceError,
  type ServiceTransport,
} from "../client/mod.ts";
import { type Next, type Outcome } from "./chain.ts";
import {
  type RequestContext,
  settingsPathOf,
  type SettingsReader,
} from "./context.ts";
import { createRefusal, endRefusal } from "./request_lifetime.ts";
import { type RetryGate } from "./retry_gate.ts";
import { type Router, type RouteTarget } from "./router.ts";

/** Dependencies of service calls. */
export interface CallServiceOptions {
  readonly services: ServiceTransport;
  readonly route: Router;
  readonly settings: SettingsReader;
  readonly staleRefusal: (context: RequestContext) => Refusal | undefined;
  readonly recordReport: (
    server: string,
    report: ServerReport | undefined,
  ) => void;
  readonly retries: RetryGate;
  /** Response timeout of a retriable call. */
  readonly responseTimeoutMs: number;
  readonly maxAttempts: number;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

const RETRY_AFTER_MS = 1000;

/** Whether a method is safe: it has no effect on the server. */
export function isSafeMethod(method: string): boolean {
  return method === "GET" || method === "HEAD";
}

/** Creates the terminal handler for plain services. */
export function createCallService(options: CallServiceOptions): Next {
  return async (context) => {
    const { request } = context;
    if (request.kind !== "service") {
      throw new TypeError("expected a service request");
    }
    options.retries.earn();
    return await callWithRetries(context, request, options);
  };
}

async function callWithRetries(
  context: RequestContext,
  request: ServiceRequest,
  options: CallServiceOptions,
): Promise<Outcome> {
  const excluded = new Set<string>();
  let lastError: ServiceError | undefined;
  for (let attempt = 0; attempt < options.maxAttempts; attempt += 1) {
    const refusal = checkBeforeAttempt(context, options);
    if (refusal !== undefined) return err(refusal);
    const target = options.route({
      service: request.service,
      version: undefined,
      requestClass: "lookup",
      leftMs: context.lifetime.leftMs(),
      excluded,
      prefixKey: undefined,
      transferBytes: request.body.byteLength,
    });
    if (target.isErr()) break;
    const called = await callServer(context, request, target.value, options);
    if (called.isOk()) return ok(toAnswer(called.value));
    lastError = called.error;
    excluded.add(target.value.server);
    if (!mayRetry(request, lastError) || !options.retries.trySpend()) break;
  }
  return err(finalRefusal(context, lastError));
}

async function callServer(
  context: RequestContext,
  request: ServiceRequest,
  target: RouteTarget,
  options: CallServiceOptions,
): Promise<Result<ServiceAnswer, ServiceError>> {
  const startedAtMs = options.clock();
  const hadRunBefore = context.run.hasRun;
  context.run.hasRun = true;
  context.run.attemptCount += 1;
  const called = await options.services.call(request, {
    address: target.address,
    signal: context.lifetime.signal,
    timeoutMs: timeoutMsOf(context, request, options),
    isFresh: context.run.attemptCount > 1 || !isRetriable(request),
  });
  const serviceMs = options.clock() - startedAtMs;
  if (called.isOk()) {
    options.recordReport(target.server, called.value.report);
    target.use.finish({
      verdict: "success",
      firstTokenMs: serviceMs,
      serviceMs,
      tokenMs: undefined,
    });
    return called;
  }
  const { fault } = called.error;
  if (fault === "unreachable") context.run.hasRun = hadRunBefore;
  options.metrics.count("service.failed", 1, { fault });
  target.use.finish({
    verdict: fault === "cancelled" ? "neutral" : "failure",
    firstTokenMs: undefined,
    serviceMs: undefined,
    tokenMs: undefined,
  });
  return called;
}

function checkBeforeAttempt(
  context: RequestContext,
  options: CallServiceOptions,
): Refusal | undefined {
  const { request, lifetime, run } = context;
  const ended = endRefusal(lifetime, runStateOf(context));
  if (ended !== undefined) return ended;
  const settings = options.settings(settingsPathOf(request));
  const service = request.kind === "service" ? request.service : "";
  if (!settings.services.includes(service)) {
    return createRefusal("unauthorized", {
      ...runStateOf(context),
      detail: `service "${service}" is no longer allowed`,
    });
  }
  return run.hasRun ? undefined : options.staleRefusal(context);
}

/** A call that is not retriable waits until the request's deadline. */
function timeoutMsOf(
  { lifetime }: RequestContext,
  request: ServiceRequest,
  options: CallServiceOptions,
): number {
  const leftMs = Math.max(1, lifetime.leftMs());
  return isRetriable(request)
    ? Math.min(leftMs, options.responseTimeoutMs)
    : leftMs;
}

function isRetriable(request: ServiceRequest): boolean {
  return isSafeMethod(request.method) && request.idempotencyKey === undefined;
}

function mayRetry(request: ServiceRequest, error: ServiceError): boolean {
  if (error.fault === "unreachable") return true;
  if (!isRetriable(request)) return false;
  return error.fault === "broken" || error.fault === "silent";
}

function finalRefusal(
  context: RequestContext,
  lastError: ServiceError | undefined,
): Refusal {
  const ended = endRefusal(context.lifetime, runStateOf(context));
  if (ended !== undefined) return ended;
  const reason = lastError === undefined || lastError.fault === "unreachable"
    ? "no_backend_server"
    : lastError.fault === "silent"
    ? "backend_silent"
    : "backend_failed";
  return createRefusal(reason, {
    ...runStateOf(context),
    detail: lastError?.message ?? "no server of the service is reachable",
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function runStateOf(
  { request, run }: RequestContext,
): { hasRun: boolean; isKeyed: boolean } {
  const isSafe = request.kind === "service" && isSafeMethod(request.method);
  return {
    hasRun: run.hasRun,
    isKeyed: request.idempotencyKey !== undefined || !isSafe,
  };
}

function toAnswer(answer: ServiceAnswer): {
  kind: "plain";
  status: number;
  contentType: string;
  body: Uint8Array;
} {
  const { status, contentType, body } = answer;
  return { kind: "plain", status, contentType, body };
}
