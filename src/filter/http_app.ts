/**
 * HTTP interface for callers and operators, described in docs/API.md. Invalid
 * requests and internal errors are answered with a problem document and never
 * end the process.
 */
import { type Context, Hono } from "hono";
import { type Logger, mayHaveRun, parsePath } from "../model/mod.ts";
import { BodyTooLongError, readBytes } from "../client/transport.ts";
import { respondChat, respondPlain } from "./chat_response.ts";
import {
  badRequest,
  type HeaderReader,
  identifyModel,
  type IdentifyOptions,
  identifyService,
} from "./identify.ts";
import { problemOf, problemResponse } from "./problem.ts";
import { type RequestHandler } from "./request_handler.ts";
import { respondResume } from "./resume_response.ts";

/** Address of an entry VM, as listed to callers. */
export interface EntryAddress {
  readonly vm: string;
  readonly place: string;
  readonly address: string;
}

/** The entry VMs that a caller may use, and how long the list is valid. */
export interface EntryList {
  readonly entries: readonly EntryAddress[];
  readonly maxAgeMs: number;
}

/** One route of the operators' interface. */
export interface AdminRoute {
  readonly method: "GET" | "POST";
  /** Path below `/v1/admin`, with a leading slash. */
  readonly path: string;
  /** Returns the JSON value of the response. */
  handle(body: unknown): Promise<unknown>;
}

/** Dependencies of the HTTP interface. */
export interface HttpAppOptions {
  readonly handler: RequestHandler;
  readonly listEntries: (place: string | undefined) => EntryList;
  readonly isReady: () => boolean;
  readonly adminRoutes: readonly AdminRoute[];
  /** Whether a bearer token is the operator token. */
  readonly isOperator: (bearer: string | undefined) => boolean;
  readonly logger: Logger;
}

const TOO_LARGE = 413;
const UNAUTHENTICATED = 401;
const MAX_INDEX = 10_000_000;

/** Creates the Hono application with all routes. */
export function createHttpApp(options: HttpAppOptions): Hono {
  const app = new Hono();
  const { handler } = options;
  app.get("/healthz", (c) => c.json({ status: "ok" }));
  app.get("/readyz", (c) => {
    const isReady = options.isReady();
    return c.json({ isReady }, isReady ? 200 : 503);
  });
  app.get(
    "/v1/entries",
    (c) => c.json(options.listEntries(c.req.query("place"))),
  );
  app.post("/v1/chat/completions", (c) => chat(c, handler));
  app.get("/v1/answers/:requestId", (c) => resume(c, handler));
  app.all("/v1/services/:service", (c) => callService(c, handler));
  app.all("/v1/services/:service/*", (c) => callService(c, handler));
  for (const route of options.adminRoutes) {
    app.on(
      route.method,
      `/v1/admin${route.path}`,
      (c) => admin(c, route, options),
    );
  }
  app.notFound(() =>
    problemResponse(problemOf(badRequest("path: unknown"), undefined, 404))
  );
  app.onError((error, c) => answerError(error, c, options));
  return app;
}

async function chat(c: Context, handler: RequestHandler): Promise<Response> {
  const body = await bodyOf(c, handler);
  const identified = identifyModel(
    headersOf(c),
    body,
    identifyOptions(handler),
  );
  if (identified.isErr()) return problemResponse(problemOf(identified.error));
  return await respondChat(handler, identified.value, c.req.raw.signal);
}

function resume(c: Context, handler: RequestHandler): Response {
  const workspace = parsePath(c.req.header("goldcrest-workspace") ?? "");
  if (workspace.isErr()) {
    const refusal = badRequest(
      `goldcrest-workspace: ${workspace.error.message}`,
    );
    return problemResponse(problemOf(refusal));
  }
  if (!handler.isAuthorised(workspace.value, bearerOf(c))) {
    return problemResponse(unauthenticated());
  }
  const from = Number(c.req.query("from") ?? "0");
  if (!Number.isInteger(from) || from < 0 || from > MAX_INDEX) {
    return problemResponse(problemOf(badRequest("from: expected an index")));
  }
  return respondResume(handler.retainedAnswers, {
    requestId: c.req.param("requestId") ?? "",
    workspace: workspace.value,
    from,
    signal: c.req.raw.signal,
  });
}

async function callService(
  c: Context,
  handler: RequestHandler,
): Promise<Response> {
  const service = c.req.param("service") ?? "";
  const body = await bodyOf(c, handler);
  const call = {
    service,
    method: c.req.method,
    target: targetOf(c.req.url, service),
    body,
  };
  const identified = identifyService(
    headersOf(c),
    call,
    identifyOptions(handler),
  );
  if (identified.isErr()) return problemResponse(problemOf(identified.error));
  const outcome = await handler.handle(identified.value, {
    sink: { begin: () => {}, write: () => Promise.resolve() },
    callerSignal: c.req.raw.signal,
  });
  return respondPlain(identified.value.request.requestId, outcome);
}

function targetOf(url: string, service: string): string {
  const { pathname, search } = new URL(url);
  const prefix = `/v1/services/${service}`;
  const start = pathname.startsWith(prefix) ? prefix.length : pathname.length;
  const path = pathname.slice(start);
  return `${path === "" ? "/" : path}${search}`;
}

async function admin(
  c: Context,
  route: AdminRoute,
  options: HttpAppOptions,
): Promise<Response> {
  if (!options.isOperator(bearerOf(c))) {
    return problemResponse(unauthenticated());
  }
  const bytes = await bodyOf(c, options.handler);
  const text = new TextDecoder().decode(bytes);
  const body: unknown = text === "" ? undefined : JSON.parse(text);
  return Response.json(await route.handle(body) ?? {});
}

function unauthenticated(): ReturnType<typeof problemOf> {
  const refusal = {
    ...badRequest("the bearer token is not valid"),
    reason: "unauthorized" as const,
  };
  return problemOf(refusal, undefined, UNAUTHENTICATED);
}

function answerError(
  error: Error,
  c: Context,
  options: HttpAppOptions,
): Response {
  if (error instanceof BodyTooLongError) {
    const refusal = badRequest(`body: ${error.message}`);
    return problemResponse(problemOf(refusal, undefined, TOO_LARGE));
  }
  if (error instanceof SyntaxError) {
    return problemResponse(problemOf(badRequest("body: not JSON")));
  }
  options.logger.error("request failed on a broken invariant", {
    path: c.req.path,
    message: error.message,
  });
  const refusal = mayHaveRun("backend_failed", { detail: "internal error" });
  return problemResponse(problemOf(refusal, undefined, 500));
}

async function bodyOf(
  c: Context,
  handler: RequestHandler,
): Promise<Uint8Array> {
  const { maxBodyBytes } = handler.limits;
  const declared = Number(c.req.header("content-length") ?? "0");
  if (declared > maxBodyBytes) {
    throw new BodyTooLongError(`exceeds ${maxBodyBytes} bytes`);
  }
  const stream = c.req.raw.body;
  if (stream === null) return new Uint8Array();
  return await readBytes(stream as AsyncIterable<unknown>, maxBodyBytes);
}

function headersOf(c: Context): HeaderReader {
  return (name) => c.req.header(name);
}

function bearerOf(c: Context): string | undefined {
  const value = c.req.header("authorization") ?? "";
  return value.startsWith("Bearer ")
    ? value.slice("Bearer ".length)
    : undefined;
}

function identifyOptions(handler: RequestHandler): IdentifyOptions {
  const { settings, makeId, limits } = handler;
  return {
    settings,
    makeId,
    maxMessages: limits.maxMessages,
    maxTokens: limits.maxTokens,
  };
}
