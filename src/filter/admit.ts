/**
 * Admission control. A request waits in the queue until it is admitted. It is
 * refused at once if the queue is full or too long for its deadline, and frees
 * its slot when it ends. Each workspace is limited to its tokens per second.
 */
import { err } from "neverthrow";
import {
  type AdmissionEffect,
  type AdmissionEvent,
  type AdmissionLimits,
  type AdmissionState,
  applyAdmission,
  type Arrival,
  createAdmission,
} from "../decision/mod.ts";
import {
  type Clock,
  type Metrics,
  notRun,
  type Refusal,
} from "../model/mod.ts";
import { estimateTokens } from "./answer_progress.ts";
import { type Filter } from "./chain.ts";
import {
  classOf,
  type RequestContext,
  settingsPathOf,
  type SettingsReader,
} from "./context.ts";
import { endRefusal } from "./request_lifetime.ts";
import { type TokenCharge, type TokenMeter } from "./token_meter.ts";

export interface AdmissionQueueOptions {
  readonly clock: Clock;
  readonly settings: SettingsReader;
  readonly limits: AdmissionLimits;
  /** Number of requests that this VM may run concurrently. */
  readonly runningLimit: () => number;
  readonly meter: TokenMeter;
  readonly metrics: Metrics;
}

type Verdict = Refusal | "admitted";

/** The admission queue of one VM. */
export class AdmissionQueue {
  readonly #options: AdmissionQueueOptions;
  readonly #verdicts = new Map<string, (verdict: Verdict) => void>();
  #state: AdmissionState;

  constructor(options: AdmissionQueueOptions) {
    this.#options = options;
    this.#state = createAdmission(options.runningLimit());
  }

  /** Number of requests that are running. */
  get runningCount(): number {
    return this.#state.running.size;
  }

  /** Number of requests in the queue. */
  get waitingCount(): number {
    return this.#state.waiting.size;
  }

  /** Whether a request with this id is running or queued. */
  has(requestId: string): boolean {
    return this.#state.running.has(requestId) || this.#verdicts.has(requestId);
  }

  /**
   * Queues a request. Resolves once it is admitted or refused, at the latest
   * when its lifetime ends.
   */
  async enter(context: RequestContext): Promise<Verdict> {
    const { requestId } = context.request;
    const verdict = new Promise<Verdict>((resolve) => {
      this.#verdicts.set(requestId, resolve);
    });
    const onAbort = (): void => this.#abandon(context);
    context.lifetime.signal.addEventListener("abort", onAbort, { once: true });
    this.#apply({
      kind: "capacity",
      runningLimit: this.#options.runningLimit(),
    });
    this.#apply({ kind: "arrive", arrival: this.#arrivalOf(context) });
    const result = await verdict;
    context.lifetime.signal.removeEventListener("abort", onAbort);
    return result;
  }

  /** Frees the slot of an admitted request. */
  leave(requestId: string): void {
    this.#apply({ kind: "leave", requestId });
  }

  #arrivalOf(context: RequestContext): Arrival {
    const { request } = context;
    const settings = this.#options.settings(settingsPathOf(request));
    return {
      requestId: request.requestId,
      workspace: request.workspace,
      requestClass: classOf(request),
      fairWeight: settings.fairWeight,
      maxConcurrent: settings.maxConcurrent,
      startByMs: context.lifetime.deadlineAtMs,
    };
  }

  #abandon(context: RequestContext): void {
    const { requestId } = context.request;
    const refusal = endRefusal(context.lifetime, {
      hasRun: false,
      isKeyed: false,
    });
    if (refusal === undefined) return;
    this.#resolve(requestId, refusal);
    this.leave(requestId);
  }

  #apply(event: AdmissionEvent): void {
    const step = applyAdmission(this.#state, event, {
      nowMs: this.#options.clock(),
      limits: this.#options.limits,
    });
    this.#state = step.state;
    for (const effect of step.effects) this.#effect(effect);
  }

  #effect(effect: AdmissionEffect): void {
    if (effect.kind === "admit") {
      this.#resolve(effect.requestId, "admitted");
      return;
    }
    this.#options.metrics.count("admission.refused", 1, {
      reason: effect.reason,
    });
    this.#resolve(
      effect.requestId,
      notRun(effect.reason, {
        detail: "the queue is full or too long for the deadline of the request",
        retryAfterMs: effect.retryAfterMs,
      }),
    );
  }

  #resolve(requestId: string, verdict: Verdict): void {
    const resolve = this.#verdicts.get(requestId);
    this.#verdicts.delete(requestId);
    resolve?.(verdict);
  }
}

/** Creates the filter that admits requests through `queue`. */
export function createAdmissionFilter(
  queue: AdmissionQueue,
  options: AdmissionQueueOptions,
): Filter {
  return async (context, next) => {
    const { requestId } = context.request;
    if (queue.has(requestId)) return err(duplicateRefusal());
    const charge = chargeOf(context, options);
    const metered = options.meter.charge(charge);
    if (metered !== undefined) return err(metered);
    const verdict = await queue.enter(context);
    if (verdict !== "admitted") {
      options.meter.refund(charge);
      return err(verdict);
    }
    try {
      return await next(context);
    } finally {
      queue.leave(requestId);
    }
  };
}

function duplicateRefusal(): Refusal {
  return {
    outcome: "may_have_run",
    reason: "key_in_use",
    detail: "a request with this id is running",
    retryAfterMs: undefined,
  };
}

function chargeOf(
  { request }: RequestContext,
  options: AdmissionQueueOptions,
): TokenCharge {
  const settings = options.settings(settingsPathOf(request));
  const tokens = request.kind === "model"
    ? estimateTokens(request.messages) + request.maxTokens
    : 0;
  return {
    workspace: request.workspace,
    tokens,
    rate: settings.maxTokensPerSecond,
  };
}
