/**
 * Parses a caller's request from its headers and body. A refusal names the
 * first invalid field; unknown body fields are ignored.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import {
  type CallerRequest,
  identifierSchema,
  type ModelRequest,
  notRun,
  type Refusal,
  requestClassSchema,
  type RequestHead,
  type ServiceRequest,
  type SettingsPath,
  settingsPathSchema,
} from "../model/mod.ts";
import { isSafeMethod } from "./call_service.ts";
import { type SettingsReader } from "./context.ts";

/** Returns a request header by its lower-case name. */
export type HeaderReader = (name: string) => string | undefined;

export interface IdentifyOptions {
  readonly settings: SettingsReader;
  readonly makeId: () => string;
  readonly maxMessages: number;
  readonly maxTokens: number;
}

/** A caller's request and the tokens sent with it. */
export interface IdentifiedRequest<Request extends CallerRequest> {
  readonly request: Request;
  readonly bearer: string | undefined;
  readonly sessionToken: string | undefined;
}

const MAX_DEADLINE_MS = 86_400_000;
const DEFAULT_MAX_TOKENS = 1024;
const WORKSPACE_PATTERN = /^\/[^/]+\/[^/]+$/;
const SESSION_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;

const headSchema = z.object({
  "goldcrest-workspace": settingsPathSchema.refine(
    (path) => WORKSPACE_PATTERN.test(path),
    "expected the path of a workspace, /region/workspace",
  ),
  "goldcrest-session": z.string().regex(SESSION_PATTERN).optional(),
  "goldcrest-session-token": z.string().max(1024).optional(),
  "goldcrest-request-id": identifierSchema.optional(),
  "goldcrest-class": requestClassSchema.default("drafting"),
  "goldcrest-deadline-ms": z.coerce.number().int().min(1).max(MAX_DEADLINE_MS)
    .optional(),
  "idempotency-key": identifierSchema.optional(),
});

type Head = z.infer<typeof headSchema>;

const HEADER_NAMES = Object.keys(headSchema.shape) as (keyof Head)[];

/** Parses a request for a model's answer. */
export function identifyModel(
  headers: HeaderReader,
  body: Uint8Array,
  options: IdentifyOptions,
): Result<IdentifiedRequest<ModelRequest>, Refusal> {
  const head = parseHead(headers);
  if (head.isErr()) return err(head.error);
  const parsed = parseBody(body, options);
  if (parsed.isErr()) return err(parsed.error);
  const { messages, max_tokens: maxTokens, stream } = parsed.value;
  const requestClass = head.value["goldcrest-class"];
  const request: ModelRequest = {
    ...requestHead(
      head.value,
      options,
      (settings) => settings.deadlinesMs[requestClass],
    ),
    kind: "model",
    requestClass,
    messages,
    maxTokens: maxTokens ?? Math.min(DEFAULT_MAX_TOKENS, options.maxTokens),
    isStreaming: stream ?? false,
  };
  return ok(withTokens(request, headers, head.value));
}

/** A call of a plain service, as received. */
export interface ServiceCall {
  readonly service: string;
  readonly method: string;
  readonly target: string;
  readonly body: Uint8Array;
}

/**
 * Parses a call of a plain service. A call whose method isn't safe needs an
 * idempotency key.
 */
export function identifyService(
  headers: HeaderReader,
  call: ServiceCall,
  options: IdentifyOptions,
): Result<IdentifiedRequest<ServiceRequest>, Refusal> {
  const head = parseHead(headers);
  if (head.isErr()) return err(head.error);
  const key = head.value["idempotency-key"];
  if (key === undefined && !isSafeMethod(call.method)) {
    return err(badRequest(`idempotency-key: required for ${call.method}`));
  }
  const request: ServiceRequest = {
    ...requestHead(
      head.value,
      options,
      (settings) => settings.deadlinesMs.lookup,
    ),
    kind: "service",
    ...call,
    contentType: headers("content-type") ?? "application/octet-stream",
  };
  return ok(withTokens(request, headers, head.value));
}

/** Creates the refusal of a malformed request. */
export function badRequest(detail: string): Refusal {
  return notRun("bad_request", { detail });
}

function parseHead(headers: HeaderReader): Result<Head, Refusal> {
  const values = Object.fromEntries(
    HEADER_NAMES.map((name) => [name, headers(name)]),
  );
  const parsed = headSchema.safeParse(values);
  return parsed.success ? ok(parsed.data) : err(fieldRefusal(parsed.error));
}

const bodySchema = z.object({
  messages: z.array(z.object({
    role: z.enum(["system", "user", "assistant"]),
    content: z.string(),
  })).min(1),
  max_tokens: z.number().int().min(1).optional(),
  stream: z.boolean().optional(),
});

type ChatBody = z.infer<typeof bodySchema>;

function parseBody(
  body: Uint8Array,
  options: IdentifyOptions,
): Result<ChatBody, Refusal> {
  const json = parseJson(body);
  if (json.isErr()) return err(json.error);
  const parsed = bodySchema.safeParse(json.value);
  if (!parsed.success) return err(fieldRefusal(parsed.error));
  const { messages, max_tokens } = parsed.data;
  if (messages.length > options.maxMessages) {
    return err(badRequest(`messages: at most ${options.maxMessages} allowed`));
  }
  if ((max_tokens ?? 0) > options.maxTokens) {
    return err(badRequest(`max_tokens: at most ${options.maxTokens} allowed`));
  }
  return ok(parsed.data);
}

function parseJson(body: Uint8Array): Result<unknown, Refusal> {
  try {
    return ok(JSON.parse(new TextDecoder().decode(body)));
  } catch {
    return err(badRequest("body: not JSON"));
  }
}

function fieldRefusal(error: z.ZodError): Refusal {
  const issue = error.issues[0];
  const field = issue?.path.join(".") || "body";
  return badRequest(`${field}: ${issue?.message ?? "invalid"}`);
}

function requestHead(
  head: Head,
  options: IdentifyOptions,
  defaultDeadlineMs: (settings: ReturnType<SettingsReader>) => number,
): RequestHead {
  const workspace: SettingsPath = head["goldcrest-workspace"];
  return {
    requestId: head["goldcrest-request-id"] ?? options.makeId(),
    workspace,
    session: head["goldcrest-session"],
    idempotencyKey: head["idempotency-key"],
    deadlineMs: head["goldcrest-deadline-ms"] ??
      defaultDeadlineMs(options.settings(workspace)),
  };
}

function withTokens<Request extends CallerRequest>(
  request: Request,
  headers: HeaderReader,
  head: Head,
): IdentifiedRequest<Request> {
  const authorization = headers("authorization") ?? "";
  const bearer = authorization.startsWith("Bearer ")
    ? authorization.slice("Bearer ".length)
    : undefined;
  return { request, bearer, sessionToken: head["goldcrest-session-token"] };
}
