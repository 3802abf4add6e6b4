/**
 * Stand-in for a model engine: runs streams in a limited number of slots,
 * caches prompt prefixes, reports its load with a lag, resumes and cancels
 * answers, and executes orders. `answer_text.ts` generates the answers' text.
 */
import { performance } from "node:perf_hooks";
import { z } from "zod";
import { answerLength, answerText, tokenCount } from "./answer_text.ts";
import { EngineCache } from "./engine_cache.ts";
import {
  type EngineOptions,
  type EngineSwitches,
  faultlessSwitches,
  MAX_RECORDED_COUNT,
  type RecordedAttempt,
  type RecordedOrder,
  type StreamFault,
} from "./engine_options.ts";
import { EngineVersions, orderSchema } from "./engine_versions.ts";
import { EngineSlots } from "./engine_slots.ts";
import { EngineStream } from "./engine_stream.ts";
import {
  type Call,
  HttpHost,
  type ListenOptions,
  numberOf,
  pause,
  sendError,
  sendJson,
  type Standin,
} from "./http_host.ts";

const MAX_SESSIONS = 1000;

const generateSchema = z.object({
  requestId: z.string(),
  attempt: z.number(),
  version: z.string(),
  messages: z.array(z.object({ role: z.string(), content: z.string() })),
  maxTokens: z.number().int().min(1),
  priority: z.number().default(0),
  fromIndex: z.number().int().min(0).default(0),
  prefix: z.string().default(""),
});

type GenerateRequest = z.infer<typeof generateSchema>;

/** Stand-in for a model engine. */
export class EngineStandin implements Standin {
  readonly server: string;
  readonly switches: EngineSwitches = faultlessSwitches();
  readonly recorded: {
    readonly attempts: RecordedAttempt[];
    readonly orders: readonly RecordedOrder[];
    cancelCount: number;
  };
  readonly #options: EngineOptions;
  readonly #host: HttpHost;
  readonly #slots: EngineSlots;
  readonly #cache: EngineCache;
  readonly #versions: EngineVersions;
  readonly #streams = new Set<EngineStream>();
  readonly #sessions = new Map<string, string>();
  #sequence = 0;
  #streamCount = 0;
  #report = { text: "", atMs: -Infinity };

  constructor(options: EngineOptions) {
    this.#options = options;
    this.server = options.server;
    this.#slots = new EngineSlots(
      options.slotCount ?? 8,
      options.queueLimit ?? 16,
    );
    this.#cache = new EngineCache({
      entryCount: options.cacheEntryCount ?? 64,
      eventLagMs: options.cacheEventLagMs ?? 50,
      gapEvery: options.cacheEventGapEvery ?? 0,
    });
    this.#versions = new EngineVersions({
      server: options.server,
      versions: options.versions,
      memoryMb: options.memoryMb ?? 80_000,
      versionMemoryMb: options.versionMemoryMb ?? 16_000,
      loadMs: options.loadMs ?? 200,
      checksFence: options.checksFence ?? true,
    });
    const orders = this.#versions.recordedOrders;
    this.recorded = { attempts: [], orders, cancelCount: 0 };
    this.#host = new HttpHost((call) => this.#serve(call));
  }

  listen(options?: ListenOptions): Promise<string> {
    return this.#host.listen(options);
  }

  close(): Promise<void> {
    this.#versions.close();
    return this.#host.close();
  }

  async #serve(call: Call): Promise<void> {
    const path = call.url.pathname;
    if (this.switches.isDown) {
      call.response.destroy();
      return;
    }
    if (this.switches.isSilent) return;
    if (path === "/v1/generate") return await this.#generate(call);
    if (path === "/v1/load") return this.#sendLoad(call);
    if (path === "/v1/orders") return this.#serveOrder(call);
    if (path === "/v1/cache-events") return await this.#sendEvents(call);
    if (path.startsWith("/v1/requests/")) return this.#cancel(call);
    if (path.startsWith("/v1/cache/")) return this.#serveCacheTransfer(call);
    sendError(call.response, 404, "no such path");
  }

  async #generate(call: Call): Promise<void> {
    const input = generateSchema.parse(JSON.parse(call.body));
    const attemptRecord = this.#recordAttempt(input);
    call.response.setHeader("x-load", this.#loadText());
    const fault = this.#refusalFor(input);
    if (fault !== undefined) {
      attemptRecord.outcome = "refused";
      return sendError(call.response, fault.status, fault.error);
    }
    await this.#slots.acquire(input.priority);
    try {
      if (call.response.destroyed) attemptRecord.outcome = "cut";
      else await this.#stream(call, { input, attemptRecord });
    } finally {
      this.#slots.release();
    }
  }

  #refusalFor(
    input: GenerateRequest,
  ): { readonly status: number; readonly error: string } | undefined {
    if (this.switches.isLeaving) return { status: 410, error: "leaving" };
    if (!this.#versions.isLoaded(input.version)) {
      return { status: 404, error: "not_loaded" };
    }
    if (this.#slots.isFull) return { status: 503, error: "busy" };
    return undefined;
  }

  async #stream(
    call: Call,
    work: {
      readonly input: GenerateRequest;
      readonly attemptRecord: RecordedAttempt;
    },
  ): Promise<void> {
    const { input, attemptRecord } = work;
    const cachedCount = this.#cache.store(input.version, input.messages);
    const uncached = input.messages.slice(cachedCount);
    await pause(this.#prefillMs(uncached));
    call.response.writeHead(200, { "content-type": "text/event-stream" });
    call.response.flushHeaders();
    const stream: EngineStream = new EngineStream({
      key: input,
      attempt: attemptRecord,
      response: call.response,
      length: answerLength(input),
      inputTokens: inputTokensOf(input),
      isLowQuality: this.switches.badVersions.includes(input.version),
      fault: this.#consumeFault(),
      tokenMs: () => (this.#options.tokenMs ?? 5) * this.switches.slowFactor,
      otherStream: () => [...this.#streams].find((one) => one !== stream),
    });
    this.#streams.add(stream);
    await stream.run().finally(() => this.#streams.delete(stream));
  }

  #prefillMs(messages: GenerateRequest["messages"]): number {
    const text = messages.map((message) => message.content).join("");
    const perKTokMs = this.#options.prefillMsPerKTok ?? 20;
    return tokenCount(text) * perKTokMs * this.switches.slowFactor / 1000;
  }

  #consumeFault(): StreamFault | undefined {
    const fault = this.switches.streamFault;
    if (fault === undefined || fault.count <= 0) return undefined;
    this.#streamCount += 1;
    if (this.#streamCount % (fault.everyNth ?? 1) !== 0) return undefined;
    this.switches.streamFault = { ...fault, count: fault.count - 1 };
    return fault;
  }

  #recordAttempt(input: GenerateRequest): RecordedAttempt {
    const expectedPrefix = answerText(input, { to: input.fromIndex });
    const attemptRecord: RecordedAttempt = {
      server: this.server,
      requestId: input.requestId,
      attempt: input.attempt,
      version: input.version,
      fromIndex: input.fromIndex,
      maxTokens: input.maxTokens,
      atMs: performance.now(),
      isPrefixRight: input.prefix.replaceAll("~", "") === expectedPrefix,
      frameCount: 0,
      outcome: "running",
    };
    if (this.recorded.attempts.length < MAX_RECORDED_COUNT) {
      this.recorded.attempts.push(attemptRecord);
    }
    return attemptRecord;
  }

  #cancel(call: Call): void {
    const requestId = decodeURIComponent(call.url.pathname.slice(13));
    const matching = [...this.#streams].filter((one) =>
      one.requestId === requestId
    );
    if (matching.length === 0) return sendError(call.response, 404, "unknown");
    let outputTokens = 0;
    for (const stream of matching) {
      stream.cancel();
      outputTokens += stream.producedCount;
    }
    this.recorded.cancelCount += 1;
    sendJson(call.response, 200, { outputTokens });
  }

  #sendLoad(call: Call): void {
    sendJson(call.response, 200, JSON.parse(this.#loadText()));
  }

  #loadText(): string {
    const nowMs = performance.now();
    const lagMs = this.#options.reportLagMs ?? 0;
    if (nowMs - this.#report.atMs < lagMs) return this.#report.text;
    this.#sequence += 1;
    const text = JSON.stringify({
      server: this.server,
      sequence: this.#sequence,
      versions: this.#versions.list(),
      runningCount: this.#slots.runningCount,
      queuedCount: this.#slots.queuedCount,
      slotCount: this.#slots.slotCount,
      memoryMb: this.#options.memoryMb ?? 80_000,
      usedMemoryMb: this.#versions.usedMemoryMb,
      role: this.#versions.role,
      isLeaving: this.switches.isLeaving,
    });
    this.#report = { text, atMs: nowMs };
    return text;
  }

  #serveOrder(call: Call): void {
    const order = orderSchema.parse(JSON.parse(call.body));
    const result = this.#versions.execute(order);
    this.#report = { text: "", atMs: -Infinity };
    if (result.state === "stale") {
      const { fence } = result;
      return sendJson(call.response, 409, { error: "stale_fence", fence });
    }
    if (result.state === "no_memory") {
      return sendError(call.response, 507, "no_memory");
    }
    sendJson(call.response, 200, { state: result.state });
  }

  async #sendEvents(call: Call): Promise<void> {
    const after = numberOf(call.url, "after", 0);
    const first = this.#cache.eventsAfter(after);
    if (first.events.length > 0) return sendJson(call.response, 200, first);
    await pause(Math.min(numberOf(call.url, "waitMs", 0), 10_000));
    sendJson(call.response, 200, this.#cache.eventsAfter(after));
  }

  #serveCacheTransfer(call: Call): void {
    const session = decodeURIComponent(call.url.pathname.slice(10));
    if (call.method === "PUT") {
      if (this.#sessions.size >= MAX_SESSIONS) this.#sessions.clear();
      this.#sessions.set(session, call.body);
      return sendJson(call.response, 200, {});
    }
    const entry = this.#sessions.get(session);
    if (entry === undefined) return sendError(call.response, 404, "none");
    sendJson(call.response, 200, JSON.parse(entry));
  }
}

function inputTokensOf(input: GenerateRequest): number {
  const text = input.messages.map((message) => message.content).join("");
  return tokenCount(text) + input.fromIndex;
}

export function createEngine(options: EngineOptions): EngineStandin {
  return new EngineStandin(options);
}
