/**
 * A caller that follows the interface: it sends a request to an entry VM,
 * resumes a cut answer at the next index through any VM, and sends the request
 * again under the same request id if no VM has the answer. It records every
 * call.
 */
import { performance } from "node:perf_hooks";
import { Agent, type Dispatcher, request as httpRequest } from "undici";
import { type RequestClass, type SettingsPath } from "../src/model/mod.ts";
import { type CallRecord } from "./evidence.ts";
import { parseProblem, type Problem, readEvents } from "./event_reader.ts";

const MAX_ATTEMPTS = 40;
const RETRY_DELAY_MS = 250;
const HEADERS_TIMEOUT_MS = 15_000;
const BODY_TIMEOUT_MS = 5000;

/** One request of a caller. */
export interface CallerRequest {
  readonly requestId: string;
  readonly kind: "model" | "service";
  readonly requestClass: RequestClass;
  readonly workspace: SettingsPath;
  readonly session: string | undefined;
  readonly key: string | undefined;
  readonly service: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly deadlineMs: number;
}

/** Options for sending a request. */
export interface CallerOptions {
  /**
   * Returns the address of the entry VM for the attempt at `index`, starting
   * over after the last VM.
   */
  readonly entryOf: (index: number) => string;
}

/** The state of one exchange with an entry VM. */
interface Exchange {
  end: CallRecord["end"];
  problem: Problem | undefined;
  version: string;
  text: string;
  nextIndex: number;
  firstTokenMs: number | undefined;
  cause: string;
}

/** Sends requests to entry VMs. */
export class Caller {
  /** Every call, in order of its end. */
  readonly calls: CallRecord[] = [];
  readonly #agent = new Agent({
    headersTimeout: HEADERS_TIMEOUT_MS,
    bodyTimeout: BODY_TIMEOUT_MS,
    connect: { timeout: 2000 },
  });
  readonly #tokens = new Map<string, string>();

  /**
   * Sends a request until it is answered or refused, its deadline has passed
   * or the attempts are used up. Returns the last call.
   */
  async send(
    request: CallerRequest,
    options: CallerOptions,
  ): Promise<CallRecord> {
    const startMs = performance.now();
    let attemptCount = 0;
    for (;;) {
      const call = await this.#call(
        request,
        options.entryOf(attemptCount),
      );
      const isCut = call.end === "cut";
      this.calls.push(call);
      attemptCount += 1;
      const isLate = performance.now() - startMs > request.deadlineMs;
      if (!isCut || attemptCount >= MAX_ATTEMPTS || isLate) return call;
      await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
    }
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #call(
    request: CallerRequest,
    entry: string,
  ): Promise<CallRecord> {
    const sentMs = performance.now();
    const exchange: Exchange = {
      end: "cut",
      problem: undefined,
      version: "",
      text: "",
      nextIndex: 0,
      firstTokenMs: undefined,
      cause: "",
    };
    const openCall = { exchange, sentMs };
    await this.#attempt(exchange, () => this.#post(request, entry, openCall));
    if (exchange.end === "cut" && exchange.nextIndex > 0) {
      await this.#attempt(
        exchange,
        () => this.#resume(request, entry, openCall),
      );
    }
    return recordOf(request, { ...openCall, entry });
  }

  /** Runs `work`; a failed connection leaves the exchange as cut. */
  async #attempt(
    exchange: Exchange,
    work: () => Promise<void>,
  ): Promise<void> {
    try {
      await work();
    } catch (error) {
      exchange.cause = String(error);
    }
  }

  async #post(
    request: CallerRequest,
    entry: string,
    openCall: OpenCall,
  ): Promise<void> {
    const isModel = request.kind === "model";
    const path = isModel
      ? "/v1/chat/completions"
      : `/v1/services/${request.service}/records`;
    const method = isModel || request.key !== undefined ? "POST" : "GET";
    const answer = await httpRequest(`http://${entry}${path}`, {
      dispatcher: this.#agent,
      method,
      headers: this.#headersOf(request),
      body: method === "POST" ? bodyOf(request) : null,
    });
    await this.#read(request, answer, openCall);
  }

  async #resume(
    request: CallerRequest,
    entry: string,
    openCall: OpenCall,
  ): Promise<void> {
    const path =
      `/v1/answers/${request.requestId}?from=${openCall.exchange.nextIndex}`;
    const answer = await httpRequest(`http://${entry}${path}`, {
      dispatcher: this.#agent,
      headers: this.#headersOf(request),
    });
    if (answer.statusCode === 200) await this.#read(request, answer, openCall);
    else await answer.body.dump();
  }

  async #read(
    request: CallerRequest,
    answer: Dispatcher.ResponseData,
    openCall: OpenCall,
  ): Promise<void> {
    const { exchange, sentMs } = openCall;
    if (answer.statusCode >= 400) {
      exchange.problem = parseProblem(await answer.body.text());
      exchange.end = "refused";
      return;
    }
    const token = answer.headers["goldcrest-session-token"];
    if (request.session !== undefined && typeof token === "string") {
      this.#tokens.set(
        `${request.workspace}/${request.session}`,
        token,
      );
    }
    if (request.kind === "service") {
      exchange.text = await answer.body.text();
      exchange.end = "whole";
      return;
    }
    for await (const event of readEvents(answer.body)) {
      if (event.kind === "done") exchange.end = "whole";
      if (event.kind === "problem") {
        exchange.end = "refused";
        exchange.problem = event.problem;
      }
      if (event.kind !== "chunk" || event.index < 0) continue;
      exchange.firstTokenMs ??= performance.now() - sentMs;
      exchange.version = event.version;
      exchange.text += event.text;
      exchange.nextIndex = event.index + 1;
    }
  }

  #headersOf(request: CallerRequest): Record<string, string> {
    const headers: Record<string, string> = {
      "content-type": "application/json",
      "goldcrest-workspace": request.workspace,
      "goldcrest-request-id": request.requestId,
      "goldcrest-class": request.requestClass,
      "goldcrest-deadline-ms": String(request.deadlineMs),
    };
    if (request.key !== undefined) headers["idempotency-key"] = request.key;
    if (request.session === undefined) return headers;
    headers["goldcrest-session"] = request.session;
    const token = this.#tokens.get(
      `${request.workspace}/${request.session}`,
    );
    if (token !== undefined) headers["goldcrest-session-token"] = token;
    return headers;
  }
}

interface OpenCall {
  readonly exchange: Exchange;
  readonly sentMs: number;
}

function bodyOf(sent: CallerRequest): string {
  if (sent.kind === "service") return JSON.stringify({ text: sent.prompt });
  return JSON.stringify({
    messages: [
      { role: "system", content: `You help ${sent.workspace}.` },
      { role: "user", content: sent.prompt },
    ],
    max_tokens: sent.maxTokens,
    stream: true,
  });
}

function recordOf(
  request: CallerRequest,
  { exchange, sentMs, entry }: OpenCall & { readonly entry: string },
): CallRecord {
  const { requestId, kind, requestClass, workspace, session, key } = request;
  return {
    requestId,
    kind,
    requestClass,
    workspace,
    session,
    key,
    maxTokens: request.maxTokens,
    sentMs,
    endedMs: performance.now(),
    end: exchange.end,
    outcome: exchange.problem?.outcome,
    reason: exchange.problem?.reason ?? "",
    version: exchange.version,
    text: exchange.text,
    firstTokenMs: exchange.firstTokenMs,
    entry,
    cause: exchange.cause,
  };
}
