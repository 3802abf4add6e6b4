/**
 * Produces the answer of one version within a bounded number of attempts.
 * Checks the deadline, the settings and withdrawals again before each attempt.
 * Resumes a silent stream on a new connection to its server, and continues the
 * answer of a failed engine on another server of the same version. Retries a
 * request with an idempotency key only if nothing can have run.
 */
import { err, ok, type Result } from "neverthrow";
import { type NoRouteReason, retryPauseMs } from "../decision/mod.ts";
import {
  type AnswerFrame,
  type ModelRequest,
  type Random,
  type Refusal,
  type RefusalReason,
  type Sleep,
  type VersionName,
} from "../model/mod.ts";
import { type EngineError, isNotExecuted } from "../client/mod.ts";
import { AnswerProgress } from "./answer_progress.ts";
import { attemptAnswer, type AttemptOptions } from "./attempt.ts";
import { billLine } from "./bill.ts";
import {
  type ModelAnswer,
  type RequestContext,
  settingsPathOf,
  type SettingsReader,
} from "./context.ts";
import { type FilterLimits } from "./limits.ts";
import { type MayStart } from "./pin.ts";
import { createRefusal, endRefusal } from "./request_lifetime.ts";
import { type RetryGate } from "./retry_gate.ts";
import { type Router, type RouteTarget } from "./router.ts";

/** Dependencies of a dispatch. */
export interface DispatchOptions extends AttemptOptions {
  readonly route: Router;
  readonly settings: SettingsReader;
  readonly mayStart: MayStart;
  /** Returns a refusal if the settings are too old for the request. */
  readonly staleRefusal: (context: RequestContext) => Refusal | undefined;
  readonly retries: RetryGate;
  readonly limits: FilterLimits;
  readonly sleep: Sleep;
  readonly random: Random;
}

/** The request, the version to run and the receiver of its frames. */
export interface DispatchInput {
  readonly context: RequestContext;
  readonly request: ModelRequest;
  readonly version: VersionName;
  readonly relay: (frame: AnswerFrame) => Promise<void>;
}

const BYTES_PER_TOKEN = 4;
const NO_SERVER_RETRY_MS = 1000;

/**
 * Produces a complete answer, or a refusal that states whether the request may
 * have run. Adds a line to the bill for the output produced, also on failure.
 */
export async function dispatch(
  input: DispatchInput,
  options: DispatchOptions,
): Promise<Result<ModelAnswer, Refusal>> {
  const progress = new AnswerProgress();
  const result = await new Dispatch(input, options, progress).run();
  const { context, request, version } = input;
  const usage = progress.usage(request.messages);
  if (usage.outputTokens > 0) {
    const { catalogue } = options.settings("/");
    context.run.lines.push(billLine(version, usage, catalogue));
  }
  return result.map(() => ({
    kind: "model",
    version,
    text: progress.text,
    usage: progress.usage(request.messages),
  }));
}

class Dispatch {
  readonly #input: DispatchInput;
  readonly #options: DispatchOptions;
  readonly #progress: AnswerProgress;
  readonly #excludedServers = new Set<string>();
  #silentServer: string | undefined;
  /** Server to resume at on a new connection. */
  #resumeServer: string | undefined;

  constructor(
    input: DispatchInput,
    options: DispatchOptions,
    progress: AnswerProgress,
  ) {
    this.#input = input;
    this.#options = options;
    this.#progress = progress;
  }

  async run(): Promise<Result<void, Refusal>> {
    const { limits, retries } = this.#options;
    retries.earn();
    let lastError: EngineError | undefined;
    for (let attempt = 0; attempt < limits.maxAttempts; attempt += 1) {
      if (attempt > 0) await this.#pause(attempt - 1);
      const refusal = this.#checkBeforeAttempt();
      if (refusal !== undefined) return err(refusal);
      const target = this.#chooseTarget().orElse((reason) =>
        this.#retrySilent(reason)
      );
      if (target.isErr()) return err(this.#noRoute(target.error, lastError));
      lastError = await this.#attempt(target.value);
      if (lastError === undefined) return ok(undefined);
      await this.#cancelIfEnded(target.value);
      const finalRefusal = this.#finalRefusal(lastError);
      if (finalRefusal !== undefined) return err(finalRefusal);
      this.#planRetry(lastError, target.value);
      if (!this.#mayRetry()) break;
    }
    return err(this.#refuse(reasonOf(lastError), "no attempt succeeded"));
  }

  #attempt(target: RouteTarget): Promise<EngineError | undefined> {
    const { context, request, version, relay } = this.#input;
    const isKeyed = request.idempotencyKey !== undefined;
    const isFresh = isKeyed || this.#resumeServer !== undefined ||
      target.server === this.#silentServer;
    const input = { context, request, version, target, isFresh, relay };
    return attemptAnswer({ ...input, progress: this.#progress }, this.#options);
  }

  #chooseTarget(): Result<RouteTarget, NoRouteReason> {
    const { context, request, version } = this.#input;
    const settings = this.#options.settings(settingsPathOf(request));
    return this.#options.route({
      service: settings.modelService,
      version,
      requestClass: request.requestClass,
      leftMs: context.lifetime.leftMs(),
      excluded: this.#excludedServers,
      preferredServer: this.#resumeServer,
      prefixKey: request.session === undefined
        ? undefined
        : settingsPathOf(request),
      transferBytes: request.maxTokens * BYTES_PER_TOKEN,
    });
  }

  /** Retries a silent server on a new connection if no other one is left. */
  #retrySilent(reason: NoRouteReason): Result<RouteTarget, NoRouteReason> {
    const silent = this.#silentServer;
    if (silent === undefined || !this.#excludedServers.delete(silent)) {
      return err(reason);
    }
    this.#resumeServer = silent;
    return this.#chooseTarget();
  }

  /**
   * Chooses where the next attempt goes. A stream that falls silent is resumed
   * at the same server on a new connection; if that one is silent again, or on
   * any other error, the server is excluded.
   */
  #planRetry(error: EngineError, target: RouteTarget): void {
    const { server, address } = target;
    const isFirstSilence = error.fault === "silent" &&
      this.#silentServer !== server;
    this.#resumeServer = undefined;
    if (isFirstSilence) this.#silentServer = server;
    if (isFirstSilence && this.#progress.nextIndex > 0) {
      this.#resumeServer = server;
      return;
    }
    this.#excludedServers.add(server);
    if (!isNotExecuted(error.fault)) {
      void this.#options.engines.cancel(
        address,
        this.#input.request.requestId,
      );
    }
  }

  /**
   * Cancels the engine's work if the request has ended. After a disconnect of
   * the caller, records the tokens produced so that they are billed.
   */
  async #cancelIfEnded({ address }: RouteTarget): Promise<void> {
    const { context, request } = this.#input;
    const { endReason } = context.lifetime;
    if (endReason === undefined) return;
    const cancelled = this.#options.engines.cancel(address, request.requestId);
    if (endReason !== "caller_gone") return;
    this.#progress.recordProducedTokens(await cancelled);
  }

  #mayRetry(): boolean {
    if (this.#progress.nextIndex > 0) return true;
    return this.#options.retries.trySpend();
  }

  #finalRefusal(error: EngineError): Refusal | undefined {
    const { request } = this.#input;
    const ended = this.#endRefusal();
    if (ended !== undefined) return ended;
    if (error.fault === "rejected") {
      return this.#refuse("backend_failed", error.message);
    }
    const isKeyed = request.idempotencyKey !== undefined;
    if (!isKeyed || isNotExecuted(error.fault)) return undefined;
    return this.#refuse(
      reasonOf(error),
      "a request with an idempotency key is not retried after it may have run",
    );
  }

  #checkBeforeAttempt(): Refusal | undefined {
    const { context, request, version } = this.#input;
    const ended = this.#endRefusal();
    if (ended !== undefined) return ended;
    const settings = this.#options.settings(settingsPathOf(request));
    if (!this.#options.mayStart(version, settings)) {
      return this.#refuse("version_withdrawn", `${version} is not allowed now`);
    }
    const stale = this.#options.staleRefusal(context);
    if (stale === undefined) return undefined;
    return this.#refuse(stale.reason, stale.detail, stale.retryAfterMs);
  }

  #endRefusal(): Refusal | undefined {
    const { lifetime, run } = this.#input.context;
    return endRefusal(lifetime, {
      hasRun: run.hasRun,
      isKeyed: this.#input.request.idempotencyKey !== undefined,
    });
  }

  #noRoute(
    reason: NoRouteReason,
    lastError: EngineError | undefined,
  ): Refusal {
    if (lastError !== undefined && reason !== "too_late") {
      return this.#refuse(reasonOf(lastError), "no other server can continue");
    }
    if (reason === "too_late") {
      return this.#refuse("overloaded", "no server can meet the deadline");
    }
    return this.#refuse("no_backend_server", `no server: ${reason}`);
  }

  #refuse(
    reason: RefusalReason,
    detail: string,
    retryAfterMs: number = NO_SERVER_RETRY_MS,
  ): Refusal {
    return createRefusal(reason, {
      hasRun: this.#input.context.run.hasRun,
      isKeyed: this.#input.request.idempotencyKey !== undefined,
      detail,
      retryAfterMs,
    });
  }

  async #pause(attempt: number): Promise<void> {
    const { limits, random, sleep } = this.#options;
    const pauseMs = retryPauseMs({
      attempt,
      firstMs: limits.initialRetryDelayMs,
      longestMs: limits.maxRetryDelayMs,
      random,
    });
    await sleep(pauseMs, this.#input.context.lifetime.signal).catch(() => {});
  }
}

function reasonOf(error: EngineError | undefined): RefusalReason {
  switch (error?.fault) {
    case "busy":
      return "overloaded";
    case "silent":
      return "backend_silent";
    case "broken":
    case "rejected":
      return "backend_failed";
    default:
      return "no_backend_server";
  }
}
