/**
 * One attempt to run a request at a backend server. Sends the request, checks
 * that the answer is genuine and belongs to the request, buffers an answer that
 * is not a stream, and reports the result to the health and roll-out
 * statistics.
 */
import { type HealthEvent } from "../../decision/mod.ts";
import { type BackendServer } from "../../model/mod.ts";
import { AnswerProgress } from "./answer_progress.ts";
import { AnswerBuffer } from "../callers/answer_buffer.ts";
import { type Attempt, type AttemptListeners } from "../forwarding/attempt.ts";
import { BackendExchange, type ExchangeFault } from "./backend_exchange.ts";
import { type InFlightRequest } from "./backend_state.ts";
import { type ForwardContext } from "../forwarding/forward_context.ts";
import { logBreak } from "../forwarding/forward_log.ts";
import { prefillKeyOf } from "./prefill_rates.ts";
import { requestSize } from "./request_size.ts";
import { type PromptAttempt } from "../prompts/prompt_quarantine.ts";
import { type AnswerHead, type BackendRequest } from "../protocol.ts";
import { crashPartIds } from "../callers/request_digest.ts";
import { isEndUnmarked, judgeEndOf } from "./unmarked_answers.ts";

/** Long enough for a connection whose first packet has to be sent again. */
const CONNECT_TIMEOUT_MS = 400;
/** A failure to connect that is seen later than this is not the server's. */
const MAX_LAG_MS = 100;
/** Share of its slots in use from which a server counts as busy. */
export const BUSY_SHARE = 0.3;
/** A prompt that occupies a server for longer is reported to nearby VMs. */
const LONG_PREFILL_MS = 300;

export interface ServerAttemptOptions extends AttemptListeners {
  readonly context: ForwardContext;
  readonly server: BackendServer;
  readonly route: string;
  readonly body: Buffer;
  readonly digest: string;
  readonly request: BackendRequest;
  readonly isStreaming: boolean;
}

/** A running attempt. */
export class ServerAttempt implements Attempt {
  readonly targetId: string;
  readonly version: string;
  isAttached = false;
  readonly #options: ServerAttemptOptions;
  readonly #inFlight: InFlightRequest;
  readonly #exchange: BackendExchange;
  readonly #startedAtMs: number;
  readonly #promptAttempt: PromptAttempt;
  readonly #progress: AnswerProgress;
  readonly #buffer: AnswerBuffer;
  #head: AnswerHead | undefined;
  #isOver = false;
  /** Whether the answer is passed on as it comes. */
  #isPassedOn = false;

  constructor(options: ServerAttemptOptions) {
    this.#options = options;
    const { context, server, request, body } = options;
    this.targetId = server.id;
    this.version = server.version;
    this.#buffer = new AnswerBuffer(options.memory, {
      onPause: () => this.#exchange.pause(),
      onResume: () => this.#exchange.resume(),
    });
    this.#startedAtMs = context.clock();
    const size = requestSize(context, {
      service: server.service,
      model: request.model ?? request.caller.model,
      promptTokens: request.caller.promptTokens,
    });
    const { prefillMs } = size;
    this.#promptAttempt = {
      requestId: request.caller.id,
      server,
      partIds: crashPartIds({ ...request, digest: options.digest }),
    };
    this.#progress = new AnswerProgress({
      onSurvived: () =>
        context.prompts.recordSurvival(this.#promptAttempt.partIds),
      onPace: (pauseMs) => this.#recordPace(pauseMs),
    });
    context.limits.countRequest(server);
    context.cold.countRequest(server);
    context.slowStarts.countRequest(server);
    context.prompts.countAttempt(this.#promptAttempt.partIds);
    this.#inFlight = context.fleet.trackRequest(server, size);
    if (prefillMs > LONG_PREFILL_MS) context.reportBusy(server.id, prefillMs);
    context.versions.adjustInFlight(server.service, server.version, 1);
    this.#exchange = new BackendExchange({
      address: server.address,
      method: request.caller.method,
      target: request.caller.target,
      headers: context.protocol.writeRequest(request),
      body,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
    }, {
      onConnected: () => context.reach.recordReached(),
      onHead: (status, rawHeaders, { statedBytes }) => {
        this.#handleHead(status, rawHeaders);
        if (!this.#isOver && !this.#isRelayed) this.#beginAnswer(statedBytes);
      },
      onData: (chunk) => this.#handleData(chunk),
      onEnd: () => this.#handleEnd(),
      onFault: (fault) => this.#handleFault(fault),
      onException: options.onException,
    });
  }

  get head(): AnswerHead | undefined {
    return this.#head;
  }

  get medianPauseMs(): number | undefined {
    return this.#progress.medianPauseMs;
  }

  get isUnsent(): boolean {
    return this.#exchange.isUnsent;
  }

  get isWaiting(): boolean {
    return this.#buffer.isWaiting;
  }

  cancel(event: HealthEvent | undefined): void {
    if (this.#isOver) return;
    const { context, server } = this.#options;
    context.brittleness.recordCancelled(server);
    if (event === "down") this.#recordSample({ isError: false });
    this.#end(event);
    this.#exchange.cancel();
  }

  pause(): void {
    this.#exchange.pause();
  }

  resume(): void {
    this.#exchange.resume();
  }

  get #prefillKey(): string {
    const { request, server } = this.#options;
    const model = request.model ?? request.caller.model;
    return prefillKeyOf(server.service, model);
  }

  /** Whether this VM was too busy to see a connection in time. */
  get #isLate(): boolean {
    const forMs = this.#options.context.clock() - this.#startedAtMs;
    return forMs > CONNECT_TIMEOUT_MS + MAX_LAG_MS;
  }

  get #isRelayed(): boolean {
    const isSuccess = this.#head !== undefined && this.#head.status < 300;
    return this.#options.isStreaming && isSuccess;
  }

  #handleHead(status: number, rawHeaders: readonly string[]): void {
    const { context, server, request } = this.#options;
    const head = context.protocol.readAnswer(status, rawHeaders);
    this.#head = head;
    this.#inFlight.recordActivity();
    const isForeign = head.requestId !== undefined
      ? head.requestId !== request.caller.id
      : status < 400;
    if (isForeign) return this.#fail("broken", "foreign_answer");
    if (head.load !== undefined) this.#inFlight.recordLoad(head.load);
    // A 421 comes from another server that now has the address.
    if (status !== 421) {
      context.limits.record(server, head.limitPerSecond);
      context.cold.recordAnswer(server, {
        coldLeftMs: head.coldLeftMs,
        sentAtMs: this.#startedAtMs,
      });
      context.brittleness.record(server, head.refusalsPerSecond);
      if (head.isNotRun) context.brittleness.recordRefusal(server);
      if (head.isLeaving) context.statements.recordLeaving(server);
      if (head.pauseMs !== undefined) {
        context.statements.recordPause(server, head.pauseMs);
      }
      context.prompts.recordServerAnswer(server, this.#startedAtMs);
    }
    if (head.isNotRun) {
      this.#end(status === 421 ? "down" : "full");
      this.#exchange.cancel();
      return this.#options.onOutcome({ kind: "not_run" });
    }
    if (status < 300 && !head.isGenuine) {
      return this.#fail("broken", "unsigned_answer");
    }
    this.#recordSample({ isError: status >= 500 });
    this.#recordSlowStart({ isError: status >= 500 });
    if (!this.#isRelayed) return;
    this.#inFlight.recordStream({ isMarked: head.isFramed });
    if (this.#options.onHead(head) === "relay") return;
    this.#end("success");
    this.#exchange.cancel();
    context.prompts.recordDrop(this.#promptAttempt);
    this.#options.onOutcome({ kind: "dropped" });
  }

  #beginAnswer(statedBytes: number | undefined): void {
    if (!this.#buffer.begin(statedBytes)) {
      return this.#fail("broken", "oversize_answer");
    }
    const head = this.#head;
    if (!this.#buffer.isWaiting || head === undefined) return;
    if (!this.#options.onWait({ head, statedBytes })) return;
    this.#isPassedOn = true;
    this.#buffer.release();
    this.#exchange.resume();
  }

  #handleData(chunk: Buffer): void {
    this.#inFlight.recordActivity();
    this.#progress.recordData(this.#options.context.clock());
    if (this.#isRelayed || this.#isPassedOn) {
      return this.#options.onData(chunk);
    }
    if (!this.#buffer.push(chunk)) this.#fail("broken", "oversize_answer");
  }

  #handleEnd(): void {
    const head = this.#head;
    if (head === undefined) return this.#fail("broken", "no_answer");
    const { context, server, request, onException } = this.#options;
    if (!isEndUnmarked(head, request.caller)) return this.#complete(head);
    const { address, processStartedAtMs } = server;
    const isReplaced = (): boolean => {
      const known = context.fleet.serverOf(server.id);
      return known !== undefined &&
        known.processStartedAtMs !== processStartedAtMs;
    };
    judgeEndOf(context, { address, isReplaced }).then((verdict) => {
      if (this.#isOver) return;
      if (verdict === "meant") return this.#complete(head);
      if (verdict === "unproved") return this.#fail(undefined, "late_end");
      this.#recordBreak("server_ended");
      context.cold.recordBreak(server);
      this.#fail("broken", "server_ended");
    }).catch(onException);
  }

  #complete(head: AnswerHead): void {
    const { context, server } = this.#options;
    this.#end(head.status >= 500 ? "error" : "success");
    // Without a length or chunks a crash may look like the end.
    const isProof = head.status < 300 && head.isFramed &&
      this.#progress.hasData;
    this.#progress.end();
    if (this.#isBareEnd(head)) this.#recordBreak("ended");
    if (isProof) context.prompts.recordSurvival(this.#promptAttempt.partIds);
    if (this.#isRelayed || this.#isPassedOn) {
      return this.#options.onOutcome({ kind: "stream_end", head });
    }
    context.fleet.recordServiceTime(
      server.service,
      context.clock() - this.#startedAtMs,
    );
    const { status, passedHeaders, isFramed: isEndMarked } = head;
    const body = this.#buffer.concat();
    const answer = { status, headers: passedHeaders, body, isEndMarked };
    this.#options.onOutcome({ kind: "answer", answer });
  }

  /** Whether a stream ended as of a server that crashes under its prompt. */
  #isBareEnd({ isFramed }: AnswerHead): boolean {
    if (!this.#isRelayed || isFramed || this.#progress.hasData) return false;
    // One that goes on after an event may have none left.
    return this.#options.request.lastEventId === undefined;
  }

  #handleFault(fault: ExchangeFault): void {
    const { context, server } = this.#options;
    // Says nothing about the server, which was not tried.
    if (fault.kind === "unsendable") this.#end(undefined);
    else if (fault.isUnsent) context.prompts.recordUnreachable(server);
    else this.#recordBreak(fault.kind);
    if (fault.kind === "unreachable") {
      context.reach.recordUnreached(server.id);
      if (!this.#isLate) context.cold.recordUnreached(server);
    } else context.cold.recordBreak(server);
    this.#end(fault.kind === "unreachable" ? "down" : "broken");
    this.#options.onOutcome({
      kind: "fault",
      isUnsent: fault.isUnsent,
      cause: fault.kind,
    });
  }

  #recordBreak(cause: string): void {
    const { context } = this.#options;
    const nowMs = context.clock();
    logBreak(context, {
      ...this.#promptAttempt,
      digest: this.#options.digest,
      cause,
      sentForMs: nowMs - this.#startedAtMs,
      answeredForMs: this.#progress.answeredForMs(nowMs),
    });
    if (this.#progress.mayHaveCrashed(nowMs)) {
      context.prompts.recordBreak(this.#promptAttempt);
    }
  }

  #recordPace(pauseMs: number): void {
    if (!this.#isRelayed) return;
    const { context, server, request } = this.#options;
    context.versions.recordPace({
      service: server.service,
      version: server.version,
      backendId: server.id,
      model: request.model ?? request.caller.model ?? "none",
      pauseMs,
      runningCount: this.#head?.load?.runningCount ?? 0,
    });
  }

  #fail(event: HealthEvent | undefined, cause: string): void {
    this.#end(event);
    this.#exchange.cancel();
    this.#options.onOutcome({ kind: "fault", isUnsent: false, cause });
  }

  #recordSample({ isError }: { readonly isError: boolean }): void {
    const { context, server, route } = this.#options;
    const firstByteMs = context.clock() - this.#startedAtMs;
    const load = this.#head?.load;
    const loadCount = load === undefined
      ? 0
      : load.runningCount + load.waitingCount;
    if (this.#isRelayed) {
      context.fleet.recordServiceTime(server.service, firstByteMs);
      const tokens = this.#options.request.caller.promptTokens;
      context.prefill.record(this.#prefillKey, { tokens, ms: firstByteMs });
    }
    context.versions.record({
      service: server.service,
      version: server.version,
      backendId: server.id,
      route,
      isError,
      isBusy: loadCount >= BUSY_SHARE * server.slotCount,
      firstByteMs,
      distanceMs: context.distanceMs(server.place),
    });
  }

  #recordSlowStart({ isError }: { readonly isError: boolean }): void {
    const { context, server, request } = this.#options;
    const tokens = request.caller.promptTokens;
    context.slowStarts.recordAnswer(server, {
      answerMs: context.clock() - this.#startedAtMs,
      prefillMs: context.prefill.estimateMs(this.#prefillKey, tokens),
      isError,
    });
  }

  #end(event: HealthEvent | undefined): void {
    if (this.#isOver) return;
    this.#isOver = true;
    if (event !== "success" && event !== "error") this.#buffer.release();
    const { context, server } = this.#options;
    const isProbe = context.fleet.isTripped(server.id);
    this.#inFlight.end(event);
    if (event !== undefined) {
      const sentAtMs = this.#startedAtMs;
      context.slowStarts.recordEnd(server, { event, sentAtMs, isProbe });
    }
    if (this.#isRelayed) {
      const holdMs = context.clock() - this.#startedAtMs;
      context.fleet.recordHold(server.service, holdMs);
    }
    context.versions.adjustInFlight(server.service, server.version, -1);
  }
}
