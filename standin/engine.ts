/**
 * A model engine: batches streams over its slots, caches prefixes, reports its
 * load with a lag, resumes and cancels answers, and takes orders. What it says
 * is set by request, version and index; see `answer_text.ts`.
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

/** The model engine's stand-in. */
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
    if (path === "/v1/orders") return this.#takeOrder(call);
    if (path === "/v1/cache-events") return await this.#sendEvents(call);
    if (path.startsWith("/v1/requests/")) return this.#cancel(call);
    if (path.startsWith("/v1/cache/")) return this.#moveCache(call);
    sendError(call.response, 404, "no such path");
  }

  async #generate(call: Call): Promise<void> {
    const asked = generateSchema.parse(JSON.parse(call.body));
    const seen = this.#remember(asked);
    call.response.setHeader("x-load", this.#loadText());
    const fault = this.#refusalOf(asked);
    if (fault !== undefined) {
      seen.outcome = "refused";
      return sendError(call.response, fault.status, fault.error);
    }
    await this.#slots.acquire(asked.priority);
    try {
      if (call.response.destroyed) seen.outcome = "cut";
      else await this.#stream(call, { asked, seen });
    } finally {
      this.#slots.release();
    }
  }

  #refusalOf(
    asked: GenerateRequest,
  ): { readonly status: number; readonly error: string } | undefined {
    if (this.switches.isLeaving) return { status: 410, error: "leaving" };
    if (!this.#versions.isLoaded(asked.version)) {
      return { status: 404, error: "not_loaded" };
    }
    if (this.#slots.isFull) return { status: 503, error: "busy" };
    return undefined;
  }

  async #stream(
    call: Call,
    work: { readonly asked: GenerateRequest; readonly seen: RecordedAttempt },
  ): Promise<void> {
    const { asked, seen } = work;
    const cachedCount = this.#cache.store(asked.version, asked.messages);
    const fresh = asked.messages.slice(cachedCount);
    await pause(this.#prefillMs(fresh));
    call.response.writeHead(200, { "content-type": "text/event-stream" });
    call.response.flushHeaders();
    const stream: EngineStream = new EngineStream({
      key: asked,
      attempt: seen,
      response: call.response,
      length: answerLength(asked),
      inputTokens: inputTokensOf(asked),
      isLowQuality: this.switches.badVersions.includes(asked.version),
      fault: this.#takeFault(),
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

  #takeFault(): StreamFault | undefined {
    const fault = this.switches.streamFault;
    if (fault === undefined || fault.count <= 0) return undefined;
    this.#streamCount += 1;
    if (this.#streamCount % (fault.everyNth ?? 1) !== 0) return undefined;
    this.switches.streamFault = { ...fault, count: fault.count - 1 };
    return fault;
  }

  #remember(asked: GenerateRequest): RecordedAttempt {
    const said = answerText(asked, { to: asked.fromIndex });
    const seen: RecordedAttempt = {
      server: this.server,
      requestId: asked.requestId,
      attempt: asked.attempt,
      version: asked.version,
      fromIndex: asked.fromIndex,
      maxTokens: asked.maxTokens,
      atMs: performance.now(),
      isPrefixRight: asked.prefix.replaceAll("~", "") === said,
      frameCount: 0,
      outcome: "running",
    };
    if (this.recorded.attempts.length < MAX_RECORDED_COUNT) {
      this.recorded.attempts.push(seen);
    }
    return seen;
  }

  #cancel(call: Call): void {
    const requestId = decodeURIComponent(call.url.pathname.slice(13));
    const own = [...this.#streams].filter((one) => one.requestId === requestId);
    if (own.length === 0) return sendError(call.response, 404, "unknown");
    let outputTokens = 0;
    for (const stream of own) {
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

  #takeOrder(call: Call): void {
    const order = orderSchema.parse(JSON.parse(call.body));
    const answer = this.#versions.execute(order);
    this.#report = { text: "", atMs: -Infinity };
    if (answer.state === "stale") {
      const { fence } = answer;
      return sendJson(call.response, 409, { error: "stale_fence", fence });
    }
    if (answer.state === "no_memory") {
      return sendError(call.response, 507, "no_memory");
    }
    sendJson(call.response, 200, { state: answer.state });
  }

  async #sendEvents(call: Call): Promise<void> {
    const after = numberOf(call.url, "after", 0);
    const first = this.#cache.eventsAfter(after);
    if (first.events.length > 0) return sendJson(call.response, 200, first);
    await pause(Math.min(numberOf(call.url, "waitMs", 0), 10_000));
    sendJson(call.response, 200, this.#cache.eventsAfter(after));
  }

  #moveCache(call: Call): void {
    const session = decodeURIComponent(call.url.pathname.slice(10));
    if (call.method === "PUT") {
      if (this.#sessions.size >= MAX_SESSIONS) this.#sessions.clear();
      this.#sessions.set(session, call.body);
      return sendJson(call.response, 200, {});
    }
    const kept = this.#sessions.get(session);
    if (kept === undefined) return sendError(call.response, 404, "none");
    sendJson(call.response, 200, JSON.parse(kept));
  }
}

function inputTokensOf(asked: GenerateRequest): number {
  const text = asked.messages.map((message) => message.content).join("");
  return tokenCount(text) + asked.fromIndex;
}

/** Creates a model engine. */
export function createEngine(options: EngineOptions): EngineStandin {
  return new EngineStandin(options);
}
