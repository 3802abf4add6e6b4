/**
 * The way of one request: choose a backend server, send, and judge what comes
 * back. A request that may be repeated goes to another server after a failure
 * or silence; one that may not goes on only while nothing of it can have run. A
 * stream goes on at another server where it broke off. Each request gets its
 * final answer as soon as it is known.
 */
import { firstModel, nextModel } from "../decision/mod.ts";
import { isRetriable } from "../model/mod.ts";
import { AnswerTiming } from "./answer_timing.ts";
import { type FleetCandidate } from "./backend_fleet.ts";
import { type CallerExchange, type CompleteAnswer } from "./caller_exchange.ts";
import { type ForwardContext, type ForwardRequest } from "./forward_context.ts";
import { logChoice, logEnd, type LoggedProgress } from "./forward_log.ts";
import { firstByteTimeoutMs, gapTimeoutMs } from "./silence_timeouts.ts";
import { type AnswerHead } from "./protocol.ts";
import { type RetryReason } from "./retry_budget.ts";
import { chooseServer } from "./server_choice.ts";
import { type AttemptOutcome, ServerAttempt } from "./server_attempt.ts";
import { StreamRelay } from "./stream_relay.ts";
import { AttemptHistory } from "./attempt_history.ts";

/** With less time left another server is not worth asking. */
const LEAST_TRY_MS = 20;
/** Bounds of the time after which a refused caller may come back. */
const RETURN_MS = { least: 300, most: 1000 } as const;

/** One caller's request on its way. */
export class Forwarding {
  readonly #context: ForwardContext;
  readonly #request: ForwardRequest;
  readonly #exchange: CallerExchange;
  readonly #history: AttemptHistory;
  readonly #relay: StreamRelay | undefined;
  readonly #pace: AnswerTiming;
  #acceptsVersion: (version: string) => boolean;
  #try: ServerAttempt | undefined;
  #model: string | undefined;
  #fallback: CompleteAnswer | undefined;
  #deadlineTimer: NodeJS.Timeout | undefined;
  #patienceTimer: NodeJS.Timeout | undefined;

  constructor(
    context: ForwardContext,
    request: ForwardRequest,
    exchange: CallerExchange,
  ) {
    this.#context = context;
    this.#request = request;
    this.#exchange = exchange;
    this.#pace = new AnswerTiming(request);
    const { caller, route } = request;
    this.#history = new AttemptHistory(route);
    this.#acceptsVersion = this.#versionsFor(undefined);
    if (route.kind === "streaming") {
      this.#relay = new StreamRelay(exchange, caller.lastEventId);
    }
    if (caller.isAnyModelAllowed) this.#model = firstModel(route.models);
  }

  /** Sends the request to its first server. */
  start(): void {
    const { budget } = this.#context;
    budget.earn(this.#request.service);
    this.#exchange.onDisconnect = () => this.#finish("caller_gone");
    this.#exchange.onDrain = () => this.#try?.resume();
    this.#deadlineTimer = setTimeout(
      () => this.#expire(),
      Math.max(0, this.#timeLeftMs()),
    );
    this.#next();
  }

  #next(): void {
    const candidate = this.#choose();
    if (candidate === undefined) return this.#giveUp("no_backend");
    const { server } = candidate;
    const { caller, route, workspace, body } = this.#request;
    this.#history.recordAttempt(server.id);
    logChoice(this.#context, this.#request, {
      ...this.#position(),
      candidate,
      attemptCount: this.#history.attemptCount,
    });
    this.#try = new ServerAttempt({
      context: this.#context,
      server,
      route: route.name,
      body,
      request: {
        caller,
        backend: server,
        workspace: workspace?.name,
        deadlineLeftMs: this.#timeLeftMs(),
        model: this.#model,
        lastEventId: this.#relay?.lastId?.toString() ?? caller.lastEventId,
        priority: workspace?.priority ?? route.priority,
      },
      isStreaming: this.#relay !== undefined,
      onHead: (head) => this.#readHead(head),
      onData: (chunk) => this.#relayData(chunk),
      onOutcome: (outcome) => this.#settle(outcome),
    });
    this.#armPatience(firstByteTimeoutMs(route, {
      meanMs: this.#context.fleet.meanServiceTimeMs(this.#request.service),
      promptTokens: caller.promptTokens,
    }));
  }

  #choose(): FleetCandidate | undefined {
    return chooseServer(this.#context, this.#request, {
      acceptsVersion: this.#acceptsVersion,
      triedIds: this.#history.triedIds,
      model: this.#model,
      isRetriable: isRetriable(this.#request.route),
    });
  }

  /** The cascade: drops an answer that its own model thinks little of. */
  #readHead(head: AnswerHead): "take" | "drop" {
    const { route, service } = this.#request;
    this.#armPatience(gapTimeoutMs(route));
    const { confidence } = head;
    if (this.#model === undefined || this.#exchange.isHeadSent) return "take";
    const model = nextModel({
      models: route.models,
      model: this.#model,
      confidence,
    });
    if (model === undefined || !this.#history.mayRunAgain()) return "take";
    if (!this.#mayArriveAgain("escalation")) return "take";
    this.#context.metrics.count("escalations", { service });
    this.#history.recordEscalation(
      { from: this.#model, to: model },
      confidence,
    );
    this.#model = model;
    return "drop";
  }

  #relayData(chunk: Buffer): void {
    const relay = this.#relay;
    const server = this.#try;
    if (relay === undefined || server === undefined) return;
    if (server.head !== undefined && !server.isAttached) {
      server.isAttached = true;
      relay.attach(server.head);
    }
    const step = relay.push(chunk);
    this.#pace.recordPart(this.#context.clock());
    if (step === "slow_caller") {
      clearTimeout(this.#patienceTimer);
      return server.pause();
    }
    this.#armPatience(gapTimeoutMs(this.#request.route));
    if (step === "relayed") return;
    server.cancel("broken");
    this.#settle({ kind: "fault", isUnsent: false, cause: step });
  }

  #settle(outcome: AttemptOutcome): void {
    clearTimeout(this.#patienceTimer);
    if (this.#exchange.isOver) return;
    this.#note(outcome);
    switch (outcome.kind) {
      case "answer":
        if (outcome.answer.status >= 500 && isRetriable(this.#request.route)) {
          this.#fallback = outcome.answer;
          return this.#repeat("backend_error");
        }
        this.#pace.recordPart(this.#context.clock());
        this.#exchange.answer(outcome.answer);
        return this.#finish("answered");
      case "stream_end":
        this.#relay?.end(outcome.head);
        return this.#finish("answered");
      case "dropped":
        this.#relay?.discardHead();
        return this.#next();
      case "not_run":
        return this.#repeat("not_run");
      case "fault":
        return this.#repeat(outcome.cause);
    }
  }

  #note(outcome: AttemptOutcome): void {
    this.#history.recordOutcome(this.#try?.server.id ?? "", outcome);
  }

  /** Asks another server, if that is allowed and of use. */
  #repeat(cause: string): void {
    if (!this.#canRepeat()) return this.#giveUp(cause);
    if (this.#history.wasSent && !this.#mayArriveAgain("failure")) {
      return this.#giveUp(cause);
    }
    if (this.#history.mayHaveRun) {
      this.#acceptsVersion = this.#versionsFor(this.#try?.server.version);
    }
    this.#context.metrics.count("repeats", { cause });
    this.#next();
  }

  /** Takes one arrival more from the budget. */
  #mayArriveAgain(reason: RetryReason): boolean {
    const { service } = this.#request;
    const { budget, metrics } = this.#context;
    if (budget.spend(service, reason)) return true;
    metrics.count("repeats_forgone", { service, reason });
    return false;
  }

  #canRepeat(): boolean {
    return this.#timeLeftMs() >= LEAST_TRY_MS &&
      this.#history.mayAttemptAgain();
  }

  /** Versions that may answer; after a failure rather not the one that failed. */
  #versionsFor(
    failedVersion: string | undefined,
  ): (version: string) => boolean {
    const { caller, service } = this.#request;
    return this.#context.versions.acceptorOf(service, {
      key: caller.session ?? caller.id,
      isMultiRequest: caller.session !== undefined,
      failedVersion,
    });
  }

  /** The server has been silent for longer than usual. */
  #endPatience(): void {
    const server = this.#try;
    if (server === undefined || this.#exchange.isOver) return;
    if (!this.#history.mayLeaveServer()) return;
    if (this.#choose()?.id === server.server.id) return;
    if (!server.isUnsent && !this.#mayArriveAgain("failure")) return;
    const { metrics } = this.#context;
    metrics.count("repeats", { cause: "silent" });
    server.cancel("down");
    this.#note({ kind: "fault", isUnsent: server.isUnsent, cause: "silent" });
    this.#next();
  }

  #armPatience(patienceMs: number): void {
    clearTimeout(this.#patienceTimer);
    this.#patienceTimer = setTimeout(
      () => this.#endPatience(),
      patienceMs,
    );
  }

  #expire(): void {
    if (this.#exchange.isOver) return;
    const isSent = this.#history.wasSent || this.#try?.isUnsent === false;
    this.#try?.cancel(undefined);
    if (this.#exchange.isHeadSent) this.#exchange.abort();
    else if (isSent) this.#exchange.refuse({ status: 504, reason: "timeout" });
    else this.#refuse("timeout");
    this.#finish("timeout");
  }

  #giveUp(cause: string): void {
    if (this.#exchange.isHeadSent) this.#exchange.abort();
    else if (this.#fallback !== undefined) {
      this.#exchange.answer(this.#fallback);
    } else if (this.#history.mayHaveRun) {
      this.#exchange.refuse({ status: 502, reason: cause });
    } else this.#refuse(cause);
    this.#finish(cause);
  }

  #refuse(reason: string): void {
    const { least, most } = RETURN_MS;
    const retryAfterMs = least + this.#context.random() * (most - least);
    this.#exchange.refuse({ status: 503, reason, retryAfterMs });
  }

  #finish(outcome: string): void {
    clearTimeout(this.#deadlineTimer);
    clearTimeout(this.#patienceTimer);
    this.#try?.cancel(undefined);
    logEnd(this.#context, this.#request, {
      ...this.#position(),
      outcome,
      status: this.#exchange.status,
      pace: this.#pace,
    });
  }

  #position(): LoggedProgress {
    const version = this.#try?.server.version;
    return {
      model: this.#model,
      version,
      attemptSummaries: this.#history.attemptSummaries,
    };
  }

  #timeLeftMs(): number {
    const { caller, route, receivedAtMs } = this.#request;
    const limitMs = Math.min(caller.deadlineMs ?? Infinity, route.timeoutMs);
    return receivedAtMs + limitMs - this.#context.clock();
  }
}
