/**
 * A caller as the interface expects it: asks an entry VM, resumes a cut answer
 * at the next index through any VM, and asks again with the same request id
 * where no VM keeps the answer. Every call that it makes is recorded.
 */
import { performance } from "node:perf_hooks";
import { Agent, type Dispatcher, request } from "undici";
import { type RequestClass, type SettingsPath } from "../src/model/mod.ts";
import { type CallRecord } from "./evidence.ts";
import { parseProblem, type Problem, readEvents } from "./event_reader.ts";

const MAX_TRIES = 40;
const PAUSE_MS = 250;
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

/** What a caller needs: entry VMs to try, in order, from an index. */
export interface CallerOptions {
  /** The address of the `index`-th choice; choices repeat in rounds. */
  readonly entryOf: (index: number) => string;
}

/** What one exchange with an entry VM ended with. */
interface Exchange {
  end: CallRecord["end"];
  problem: Problem | undefined;
  version: string;
  text: string;
  nextIndex: number;
  firstTokenMs: number | undefined;
}

/** Asks requests of entry VMs. */
export class Caller {
  /** Every call, in the order in which they ended. */
  readonly calls: CallRecord[] = [];
  readonly #agent = new Agent({
    headersTimeout: HEADERS_TIMEOUT_MS,
    bodyTimeout: BODY_TIMEOUT_MS,
    connect: { timeout: 2000 },
  });
  readonly #tokens = new Map<string, string>();

  /** Asks until there is an answer or a refusal; answers the last call. */
  async send(ask: CallerRequest, options: CallerOptions): Promise<CallRecord> {
    const startMs = performance.now();
    let tries = 0;
    for (;;) {
      const call = await this.#call(ask, options.entryOf(tries));
      const isCut = call.end === "cut";
      this.calls.push(call);
      tries += 1;
      const isLate = performance.now() - startMs > ask.deadlineMs;
      if (!isCut || tries >= MAX_TRIES || isLate) return call;
      await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
    }
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #call(ask: CallerRequest, entry: string): Promise<CallRecord> {
    const sentMs = performance.now();
    const exchange: Exchange = {
      end: "cut",
      problem: undefined,
      version: "",
      text: "",
      nextIndex: 0,
      firstTokenMs: undefined,
    };
    await this.#attempt(() => this.#post(ask, entry, { exchange, sentMs }));
    if (exchange.end === "cut" && exchange.nextIndex > 0) {
      await this.#attempt(() => this.#resume(ask, entry, { exchange, sentMs }));
    }
    return recordOf(ask, exchange, sentMs);
  }

  async #attempt(work: () => Promise<void>): Promise<void> {
    try {
      await work();
    } catch {
      // A broken connection leaves the exchange cut.
    }
  }

  async #post(ask: CallerRequest, entry: string, run: Run): Promise<void> {
    const isModel = ask.kind === "model";
    const path = isModel
      ? "/v1/chat/completions"
      : `/v1/services/${ask.service}/records`;
    const method = isModel || ask.key !== undefined ? "POST" : "GET";
    const answer = await request(`http://${entry}${path}`, {
      dispatcher: this.#agent,
      method,
      headers: this.#headersOf(ask),
      body: method === "POST" ? bodyOf(ask) : null,
    });
    await this.#read(ask, answer, run);
  }

  async #resume(ask: CallerRequest, entry: string, run: Run): Promise<void> {
    const path = `/v1/answers/${ask.requestId}?from=${run.exchange.nextIndex}`;
    const answer = await request(`http://${entry}${path}`, {
      dispatcher: this.#agent,
      headers: this.#headersOf(ask),
    });
    if (answer.statusCode === 200) await this.#read(ask, answer, run);
    else await answer.body.dump();
  }

  async #read(
    ask: CallerRequest,
    answer: Dispatcher.ResponseData,
    run: Run,
  ): Promise<void> {
    const { exchange, sentMs } = run;
    if (answer.statusCode >= 400) {
      exchange.problem = parseProblem(await answer.body.text());
      exchange.end = "refused";
      return;
    }
    const token = answer.headers["goldcrest-session-token"];
    if (ask.session !== undefined && typeof token === "string") {
      this.#tokens.set(`${ask.workspace}/${ask.session}`, token);
    }
    if (ask.kind === "service") {
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

  #headersOf(ask: CallerRequest): Record<string, string> {
    const headers: Record<string, string> = {
      "content-type": "application/json",
      "goldcrest-workspace": ask.workspace,
      "goldcrest-request-id": ask.requestId,
      "goldcrest-class": ask.requestClass,
      "goldcrest-deadline-ms": String(ask.deadlineMs),
    };
    if (ask.key !== undefined) headers["idempotency-key"] = ask.key;
    if (ask.session === undefined) return headers;
    headers["goldcrest-session"] = ask.session;
    const token = this.#tokens.get(`${ask.workspace}/${ask.session}`);
    if (token !== undefined) headers["goldcrest-session-token"] = token;
    return headers;
  }
}

interface Run {
  readonly exchange: Exchange;
  readonly sentMs: number;
}

function bodyOf(ask: CallerRequest): string {
  if (ask.kind === "service") return JSON.stringify({ text: ask.prompt });
  return JSON.stringify({
    messages: [
      { role: "system", content: `You help ${ask.workspace}.` },
      { role: "user", content: ask.prompt },
    ],
    max_tokens: ask.maxTokens,
    stream: true,
  });
}

function recordOf(
  ask: CallerRequest,
  exchange: Exchange,
  sentMs: number,
): CallRecord {
  const { requestId, kind, requestClass, workspace, session, key } = ask;
  return {
    requestId,
    kind,
    requestClass,
    workspace,
    session,
    key,
    maxTokens: ask.maxTokens,
    sentMs,
    endedMs: performance.now(),
    end: exchange.end,
    outcome: exchange.problem?.outcome,
    reason: exchange.problem?.reason ?? "",
    version: exchange.version,
    text: exchange.text,
    firstTokenMs: exchange.firstTokenMs,
  };
}
