/**
 * Forwards one request: chooses a backend server, sends the request and
 * evaluates the answer. A retriable request goes to another server after a
 * failure or a silence; any other request only while it cannot have run. An
 * interrupted stream resumes at another server after the last event sent to the
 * caller.
 */
import { firstModel, isLastEnd } from "../../decision/mod.ts";
import { isRetriable } from "../../model/mod.ts";
import { type Attempt, type WaitingAnswer } from "./attempt.ts";
import { type AttemptTarget, startAttempt } from "./attempt_start.ts";
import { type RequestMemory } from "../callers/answer_memory.ts";
import { AnswerTiming } from "../callers/answer_timing.ts";
import { AttemptHistory } from "./attempt_history.ts";
import {
  type CallerExchange,
  type CompleteAnswer,
} from "../callers/caller_exchange.ts";
import {
  answerFailure,
  isFalsePromise,
  refuseBusy,
  refuseOverloaded,
  type RequestFailure,
} from "./failure_answer.ts";
import { chooseEscalation } from "./escalation_choice.ts";
import {
  type AdmissionTicket,
  type ForwardContext,
  type ForwardRequest,
} from "./forward_context.ts";
import {
  logChoice,
  logEnd,
  type LoggedProgress,
  logRelay,
  type ServerEnding,
} from "./forward_log.ts";
import { type AnswerHead } from "../protocol.ts";
import { ReadTimeout } from "../read_timeout.ts";
import { RequestRetries } from "./request_retries.ts";
import { noServerReason, unreachedReason } from "./retry_delay.ts";
import { type AttemptOutcome } from "./attempt_outcome.ts";
import { SilenceWatch } from "./silence_watch.ts";
import { StreamRelay } from "../callers/stream_relay.ts";
import { isReached, TargetChoice, targetIdOf } from "./target_choice.ts";

/** The forwarding of one caller's request. */
export class Forwarding {
  readonly #context: ForwardContext;
  readonly #request: ForwardRequest;
  readonly #exchange: CallerExchange;
  readonly #history: AttemptHistory;
  readonly #relay: StreamRelay | undefined;
  readonly #timing: AnswerTiming;
  readonly #targets: TargetChoice;
  readonly #retries: RequestRetries;
  readonly #silence: SilenceWatch;
  readonly #memory: RequestMemory;
  #attempt: Attempt | undefined;
  /** Where the request goes from a silent server, once it is reached. */
  #nextTarget: AttemptTarget | undefined;
  /** Targets that were not reached as the request was to leave its server. */
  readonly #unreachedIds = new Set<string>();
  /** An attempt that waits until its caller has read on. */
  #pausedAttempt: Attempt | undefined;
  #model: string | undefined;
  #fallback: CompleteAnswer | undefined;
  #serverEnd: ServerEnding | undefined;
  /** Whether a whole answer is passed on as it comes. */
  #isPassedOn = false;
  #callerWaitCount = 0;
  #deadline: ReadTimeout | undefined;
  #ticket: AdmissionTicket | undefined;
  #onFinish: () => void = () => {};

  constructor(
    context: ForwardContext,
    request: ForwardRequest,
    exchange: CallerExchange,
  ) {
    this.#context = context;
    this.#request = request;
    this.#exchange = exchange;
    this.#timing = new AnswerTiming(request);
    const { caller, route } = request;
    this.#memory = context.answerMemory.open(route.name);
    exchange.releaseWhenClosed(() => this.#memory.release());
    this.#history = new AttemptHistory(route, caller.maxRunCount);
    this.#targets = new TargetChoice(context, request);
    this.#retries = new RequestRetries(context, request, {
      history: this.#history,
      timeLeftMs: () => this.#timeLeftMs(),
    });
    this.#silence = new SilenceWatch(context, request, {
      onSilent: () => this.#guard(() => this.#handleSilence()),
      timeLeftMs: () => this.#timeLeftMs(),
    });
    if (route.kind === "streaming") {
      this.#relay = new StreamRelay(exchange, {
        lastEventId: caller.lastEventId,
      });
    }
    if (caller.isAnyModelAllowed) this.#model = firstModel(route.models);
  }

  /** Called once when the request has ended. */
  set onFinish(listener: () => void) {
    this.#onFinish = listener;
  }

  /** Answers the request with what is true of it, as the VM ends. */
  endWithVm(): void {
    this.#endUnanswered("vm_stopped", { sentStatus: 502 });
  }

  /** Starts the deadline timer and sends the request to its first server. */
  start(): void {
    const { caller, service } = this.#request;
    // The VM that relays it has counted it.
    if (!caller.isRelayed) this.#context.budget.earn(service);
    this.#exchange.onDisconnect = () =>
      this.#guard(() => this.#finish("caller_gone"));
    this.#exchange.onDrain = () => this.#guard(() => this.#resumePaused());
    this.#deadline = new ReadTimeout(
      Math.max(0, this.#timeLeftMs()),
      () => this.#guard(() => this.#handleDeadline()),
    );
    this.#ticket = this.#context.admission.enter(this.#context, this.#request, {
      onStart: () => this.#guard(() => this.#startFirst()),
      onRefuse: (retryAfterMs) =>
        this.#guard(() => {
          refuseOverloaded(this.#context, this.#exchange, retryAfterMs);
          this.#finish("overloaded");
        }),
    });
  }

  /** Ends this request alone, after an exception in its handling. */
  endWithException(error: Error): void {
    const { caller, route } = this.#request;
    this.#context.metrics.count("request_exceptions", { route: route.name });
    this.#context.logger.error("request failed by an exception", {
      request: caller.id,
      message: error.stack ?? error.message,
    });
    if (this.#exchange.isOver) return this.#finish("internal_error");
    this.#endUnanswered("internal_error", { sentStatus: 502 });
  }

  #guard(handle: () => void): void {
    try {
      handle();
    } catch (error) {
      this.endWithException(error as Error);
    }
  }

  #startFirst(): void {
    if (this.#memory.begin()) return this.#startAttempt();
    refuseBusy(this.#context, this.#exchange);
    this.#finish("busy");
  }

  #startAttempt(): void {
    const target = this.#targets.choose(this.#history.triedIds, this.#model);
    if (target === undefined) {
      return this.#giveUp(noServerReason(this.#context, this.#request));
    }
    this.#startAttemptAt(target);
  }

  #startAttemptAt(target: AttemptTarget): void {
    const isRelay = target.kind === "vm";
    const maxRunCount = this.#history.relayedRunCount;
    this.#history.addAttempt(targetIdOf(target), isRelay ? maxRunCount : 1);
    this.#logAttempt(target);
    const { caller } = this.#request;
    // The other VM begins the cascade anew, unless a stream is resumed.
    const keepsModel = !isRelay || this.#exchange.isHeadSent;
    this.#attempt = startAttempt(this.#context, this.#request, {
      target,
      deadlineLeftMs: this.#timeLeftMs(),
      maxRunCount,
      model: keepsModel ? this.#model : undefined,
      lastEventId: this.#relay?.lastId?.toString() ?? caller.lastEventId,
      isStreaming: this.#relay !== undefined,
      memory: this.#memory,
      onHead: (head) => isRelay ? "relay" : this.#handleHead(head),
      onWait: (waiting) => this.#passOn(waiting),
      onData: (chunk) => this.#relayData(chunk),
      onOutcome: (outcome) => this.#handleOutcome(outcome),
      onException: (error) => this.endWithException(error),
    });
    this.#silence.startFirst(target, this.#model);
  }

  #logAttempt(target: AttemptTarget): void {
    const attempt = {
      ...this.#progress(),
      attemptCount: this.#history.attemptCount,
    };
    if (target.kind === "vm") {
      const { vm } = target.vm;
      return logRelay(this.#context, this.#request, { ...attempt, vm });
    }
    logChoice(this.#context, this.#request, {
      ...attempt,
      candidate: target.candidate,
      versionReason: this.#targets.versions.reason,
    });
  }

  /** Cascade: drops an answer of low confidence and tries a larger model. */
  #handleHead(head: AnswerHead): "relay" | "drop" {
    const { service } = this.#request;
    this.#nextTarget = undefined;
    this.#silence.startGap();
    const { confidence } = head;
    if (this.#model === undefined || this.#exchange.isHeadSent) return "relay";
    // An answer that is dropped has run.
    if (!isRetriable(this.#request.route)) return "relay";
    if (!this.#history.mayRunAgain()) return "relay";
    const model = chooseEscalation(this.#context, this.#request, {
      answer: { model: this.#model, confidence },
      timeLeftMs: this.#timeLeftMs(),
      acceptsVersion: this.#targets.versions.accepts,
    });
    if (model === undefined || !this.#retries.spend("escalation")) {
      return "relay";
    }
    this.#context.metrics.count("escalations", { service });
    this.#history.addEscalation({ from: this.#model, to: model }, confidence);
    this.#model = model;
    return "drop";
  }

  /**
   * Passes on an answer for which there is no memory, as its caller reads it. One
   * that may run again rather waits, as another may take its place if it breaks.
   */
  #passOn({ head, statedBytes }: WaitingAnswer): boolean {
    const { status, passedHeaders: headers } = head;
    if (statedBytes === undefined) return false;
    if (isRetriable(this.#request.route) || this.#relay !== undefined) {
      return false;
    }
    if (isFalsePromise(this.#request, head)) return false;
    // It is ready: its caller gets it, also late.
    this.#deadline?.stop();
    this.#silence.stop();
    this.#isPassedOn = true;
    this.#exchange.sendStatedHead({ status, headers, statedBytes });
    return true;
  }

  #relayData(chunk: Buffer): void {
    const relay = this.#relay;
    const attempt = this.#attempt;
    if (this.#isPassedOn && !this.#exchange.write(chunk)) {
      this.#callerWaitCount += 1;
      this.#pausedAttempt = attempt;
      return attempt?.pause();
    }
    if (relay === undefined || attempt === undefined) return;
    this.#nextTarget = undefined;
    if (attempt.head !== undefined && !attempt.isAttached) {
      attempt.isAttached = true;
      relay.attach(attempt.head);
    }
    const step = relay.push(chunk);
    this.#timing.recordPart(this.#context.clock());
    if (step === "slow_caller") {
      this.#callerWaitCount += 1;
      this.#silence.stop();
      this.#pausedAttempt = attempt;
      return attempt.pause();
    }
    this.#silence.startGap();
    if (step === "relayed") return;
    attempt.cancel("broken");
    this.#handleOutcome({ kind: "fault", isUnsent: false, cause: step });
  }

  /** The server may have fallen silent while the caller was slow. */
  #resumePaused(): void {
    const attempt = this.#pausedAttempt;
    this.#pausedAttempt = undefined;
    if (attempt === undefined || attempt !== this.#attempt) return;
    if (this.#exchange.isOver) return;
    attempt.resume();
    if (!this.#isPassedOn) this.#silence.startGap();
  }

  #handleOutcome(outcome: AttemptOutcome): void {
    this.#nextTarget = undefined;
    this.#silence.stop();
    if (this.#exchange.isOver) return;
    this.#history.addOutcome(this.#attempt?.targetId ?? "", outcome);
    switch (outcome.kind) {
      case "answer":
        if (this.#exchange.isHeadSent) return this.#retry("no_stream");
        if (outcome.answer.status >= 500 && isRetriable(this.#request.route)) {
          this.#fallback = outcome.answer;
          this.#memory.keep();
          return this.#retry("backend_error");
        }
        if (isFalsePromise(this.#request, outcome.answer)) {
          const reason = "unmarked_refusal";
          this.#exchange.refuse({ status: 502, reason });
          return this.#finish(reason);
        }
        this.#timing.recordPart(this.#context.clock());
        this.#exchange.answer(outcome.answer);
        return this.#finish("answered");
      case "stream_end":
        return this.#handleStreamEnd(outcome.head);
      case "dropped":
        this.#relay?.discardHead();
        return this.#startAttempt();
      case "not_run":
        return this.#retry(outcome.cause ?? outcome.kind);
      case "fault":
        return this.#retry(outcome.cause);
    }
  }

  #handleStreamEnd(head: AnswerHead): void {
    if (this.#isPassedOn) {
      this.#exchange.end();
      return this.#finish("answered");
    }
    this.#serverEnd = head.isFramed ? "marked" : "unmarked";
    const relay = this.#relay;
    const end = relay?.endOf(head);
    if (end === "broken") return this.#retry("incomplete");
    if (end === "unconfirmed" && !this.#isConfirmed()) {
      if (this.#takeRetry("unmarked_end")) return this.#startAttempt();
      if (!this.#isLastEnd()) return this.#giveUp("unmarked_end");
    }
    relay?.complete(head);
    this.#finish("answered");
  }

  /** Whether the unmarked end of the last run completes the stream. */
  #isConfirmed(): boolean {
    const lastId = this.#relay?.lastId;
    // A stream without numbers can't be resumed.
    if (lastId === undefined) return true;
    return this.#history.recordUnmarkedEnd(lastId);
  }

  /** Whether an end that can't be confirmed completes the stream. */
  #isLastEnd(): boolean {
    const { targetId = "" } = this.#attempt ?? {};
    return isLastEnd({
      isBegun: this.#relay?.hasEvent === true,
      neverMarksEnds: this.#context.fleet.neverMarksEnds(targetId),
    });
  }

  /** Sends the request again, if that is allowed and enough time is left. */
  #retry(cause: string): void {
    if (this.#takeRetry(cause)) this.#startAttempt();
    else this.#giveUp(cause);
  }

  #takeRetry(cause: string): boolean {
    if (!this.#canGoOn || !this.#retries.take(cause)) return false;
    // A version whose servers don't mark their ends is no worse for that.
    if (this.#history.mayHaveRun && cause !== "unmarked_end") {
      this.#targets.avoidVersion(this.#attempt?.version);
    }
    return true;
  }

  /** Whether another attempt can go on with what the caller got. */
  get #canGoOn(): boolean {
    return this.#relay?.canGoOn ?? true;
  }

  /**
   * Ends a silent attempt, if another server may run the request and is reached:
   * the silent one may still be at work.
   */
  #handleSilence(): void {
    const attempt = this.#attempt;
    if (attempt === undefined || this.#exchange.isOver) return;
    if (attempt.isWaiting) return this.#silence.startGap();
    if (!this.#canGoOn || !this.#history.mayLeaveServer()) return;
    const { triedIds } = this.#history;
    const avoidedIds = new Set([...triedIds, ...this.#unreachedIds]);
    const next = this.#targets.choose(avoidedIds, this.#model);
    if (next === undefined) return this.#waitOn();
    const nextId = targetIdOf(next);
    const isOther = nextId !== attempt.targetId;
    if (!isOther || this.#unreachedIds.has(nextId)) return this.#waitOn();
    if (!this.#silence.mayLeave(next)) return;
    this.#nextTarget = next;
    void isReached(next).then((isUp) =>
      this.#guard(() => {
        if (this.#nextTarget !== next) return;
        this.#nextTarget = undefined;
        if (isUp) return this.#leave(attempt, next);
        this.#unreachedIds.add(nextId);
        this.#retries.count("silent_unreached");
        this.#handleSilence();
      })
    );
  }

  /** Stays at a silent server, and looks for another one later. */
  #waitOn(): void {
    this.#unreachedIds.clear();
    this.#silence.waitOn();
  }

  #leave(attempt: Attempt, next: AttemptTarget): void {
    // The next server may refuse, and the caller has a part of the answer.
    const reason = this.#exchange.isHeadSent ? "begun_answer" : "failure";
    if (!attempt.isUnsent && !this.#retries.spend(reason)) {
      return this.#waitOn();
    }
    this.#retries.count("silent");
    attempt.cancel("down");
    this.#history.addOutcome(attempt.targetId, {
      kind: "fault",
      isUnsent: attempt.isUnsent,
      cause: "silent",
    });
    this.#startAttemptAt(next);
  }

  #handleDeadline(): void {
    this.#endUnanswered("timeout", { sentStatus: 504 });
  }

  #endUnanswered(
    reason: string,
    { sentStatus }: { readonly sentStatus: number },
  ): void {
    if (this.#exchange.isOver) return;
    const isSent = this.#history.wasSent || this.#attempt?.isUnsent === false;
    this.#attempt?.cancel(undefined);
    this.#fail(reason, { sentStatus: isSent ? sentStatus : undefined });
  }

  #giveUp(attemptCause: string): void {
    const cause = unreachedReason(this.#context, this.#request, attemptCause);
    const sentStatus = this.#history.mayHaveRun ? 502 : undefined;
    this.#fail(cause, { sentStatus, fallback: this.#fallback });
  }

  #fail(
    reason: string,
    failure: Pick<RequestFailure, "sentStatus" | "fallback">,
  ): void {
    const exchange = this.#exchange;
    answerFailure(this.#context, this.#request, {
      exchange,
      reason,
      ...failure,
    });
    this.#finish(reason);
  }

  #finish(outcome: string): void {
    this.#nextTarget = undefined;
    this.#deadline?.stop();
    this.#silence.stop();
    this.#attempt?.cancel(undefined);
    this.#ticket?.end(outcome === "answered");
    this.#onFinish();
    logEnd(this.#context, this.#request, {
      ...this.#progress(),
      outcome,
      exchange: this.#exchange,
      serverEnd: this.#serverEnd,
      retryDenial: this.#retries.denial,
      callerWaitCount: this.#callerWaitCount,
      timing: this.#timing,
      medianPauseMs: this.#attempt?.medianPauseMs,
      waitedMs: this.#ticket?.waitedMs(),
    });
  }

  #progress(): LoggedProgress {
    const version = this.#attempt?.version;
    const { attempts } = this.#history;
    const lastEvent = this.#relay?.lastId;
    return { model: this.#model, version, attempts, lastEvent };
  }

  #timeLeftMs(): number {
    const { caller, route, receivedAtMs } = this.#request;
    const limitMs = Math.min(caller.deadlineMs ?? Infinity, route.timeoutMs);
    return receivedAtMs + limitMs - this.#context.clock();
  }
}
