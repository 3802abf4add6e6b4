/**
 * Produces the answer of one version, over as many attempts as it takes and the
 * bounds allow. Before each attempt the deadline, the settings and withdrawals
 * are checked again. A silent stream is resumed on a fresh connection, a lost
 * engine's answer is continued on another server of the same version. A request
 * with an idempotency key is dispatched again only if nothing can have run.
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

/** What dispatch works with. */
export interface DispatchOptions extends AttemptOptions {
  readonly route: Router;
  readonly settings: SettingsReader;
  readonly mayStart: MayStart;
  /** A refusal that the settings' age demands, if any. */
  readonly staleRefusal: (context: RequestContext) => Refusal | undefined;
  readonly retries: RetryGate;
  readonly limits: FilterLimits;
  readonly sleep: Sleep;
  readonly random: Random;
}

/** What is to be produced, and where its frames go. */
export interface DispatchInput {
  readonly context: RequestContext;
  readonly request: ModelRequest;
  readonly version: VersionName;
  readonly relay: (frame: AnswerFrame) => Promise<void>;
}

const BYTES_PER_TOKEN = 4;
const NO_SERVER_RETRY_MS = 1000;

/** Produces a whole answer or says truthfully why there is none. */
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
  readonly #excluded = new Set<string>();
  #silentServer: string | undefined;
  #again: string | undefined;

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
    let last: EngineError | undefined;
    for (let attempt = 0; attempt < limits.maxAttempts; attempt += 1) {
      if (attempt > 0) await this.#pause(attempt - 1);
      const refusal = this.#checkAgain();
      if (refusal !== undefined) return err(refusal);
      const target = this.#target().orElse((reason) =>
        this.#retrySilent(reason)
      );
      if (target.isErr()) return err(this.#noRoute(target.error, last));
      last = await this.#attempt(target.value);
      if (last === undefined) return ok(undefined);
      await this.#cancelIfEnded(target.value);
      const final = this.#finalRefusal(last);
      if (final !== undefined) return err(final);
      this.#plan(last, target.value);
      if (!this.#mayRetry()) break;
    }
    return err(this.#refuse(reasonOf(last), "no attempt gave a whole answer"));
  }

  #attempt(target: RouteTarget): Promise<EngineError | undefined> {
    const { context, request, version, relay } = this.#input;
    const isKeyed = request.idempotencyKey !== undefined;
    const isFresh = isKeyed || this.#again !== undefined ||
      target.server === this.#silentServer;
    const input = { context, request, version, target, isFresh, relay };
    return attemptAnswer({ ...input, progress: this.#progress }, this.#options);
  }

  #target(): Result<RouteTarget, NoRouteReason> {
    const { context, request, version } = this.#input;
    const settings = this.#options.settings(settingsPathOf(request));
    return this.#options.route({
      service: settings.modelService,
      version,
      requestClass: request.requestClass,
      leftMs: context.lifetime.leftMs(),
      excluded: this.#excluded,
      preferredServer: this.#again,
      prefixKey: request.session === undefined
        ? undefined
        : settingsPathOf(request),
      transferBytes: request.maxTokens * BYTES_PER_TOKEN,
    });
  }

  /** With no other server left, a silent one is tried on a new connection. */
  #retrySilent(reason: NoRouteReason): Result<RouteTarget, NoRouteReason> {
    const silent = this.#silentServer;
    if (silent === undefined || !this.#excluded.delete(silent)) {
      return err(reason);
    }
    this.#again = silent;
    return this.#target();
  }

  /** Silence is first met on a fresh connection, then on another server. */
  #plan(fault: EngineError, target: RouteTarget): void {
    const { server, address } = target;
    const isFirstSilence = fault.fault === "silent" &&
      this.#silentServer !== server;
    this.#again = undefined;
    if (isFirstSilence) this.#silentServer = server;
    if (isFirstSilence && this.#progress.nextIndex > 0) {
      this.#again = server;
      return;
    }
    this.#excluded.add(server);
    if (!isNotExecuted(fault.fault)) {
      void this.#options.engines.cancel(
        address,
        this.#input.request.requestId,
      );
    }
  }

  /** Stops the engine's work; once the caller is gone, counts it as well. */
  async #cancelIfEnded({ address }: RouteTarget): Promise<void> {
    const { context, request } = this.#input;
    const { endReason: ending } = context.lifetime;
    if (ending === undefined) return;
    const cancelled = this.#options.engines.cancel(address, request.requestId);
    if (ending !== "caller_gone") return;
    this.#progress.recordProducedTokens(await cancelled);
  }

  #mayRetry(): boolean {
    if (this.#progress.nextIndex > 0) return true;
    return this.#options.retries.trySpend();
  }

  #finalRefusal(fault: EngineError): Refusal | undefined {
    const { request } = this.#input;
    const ended = this.#ended();
    if (ended !== undefined) return ended;
    if (fault.fault === "rejected") {
      return this.#refuse("backend_failed", fault.message);
    }
    const isKeyed = request.idempotencyKey !== undefined;
    if (!isKeyed || isNotExecuted(fault.fault)) return undefined;
    return this.#refuse(reasonOf(fault), "a keyed request is not repeated");
  }

  #checkAgain(): Refusal | undefined {
    const { context, request, version } = this.#input;
    const ended = this.#ended();
    if (ended !== undefined) return ended;
    const settings = this.#options.settings(settingsPathOf(request));
    if (!this.#options.mayStart(version, settings)) {
      return this.#refuse("version_withdrawn", `${version} is not allowed now`);
    }
    const stale = this.#options.staleRefusal(context);
    if (stale === undefined) return undefined;
    return this.#refuse(stale.reason, stale.detail, stale.retryAfterMs);
  }

  #ended(): Refusal | undefined {
    const { lifetime: life, run } = this.#input.context;
    return endRefusal(life, {
      hasRun: run.hasRun,
      isKeyed: this.#input.request.idempotencyKey !== undefined,
    });
  }

  #noRoute(reason: NoRouteReason, last: EngineError | undefined): Refusal {
    if (last !== undefined && reason !== "too_late") {
      return this.#refuse(reasonOf(last), "no other server can continue");
    }
    if (reason === "too_late") {
      return this.#refuse("overloaded", "no server answers in time");
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

function reasonOf(fault: EngineError | undefined): RefusalReason {
  switch (fault?.fault) {
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
