/**
 * Lets requests in by the admission decision: each waits for its turn, is
 * refused at once where waiting is no use, and gives its place back when it is
 * answered. Also holds each workspace to its tokens per second.
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
import { endRefusal } from "./request_life.ts";
import { type TokenCharge, type TokenMeter } from "./token_meter.ts";

/** What admission works with. */
export interface AdmissionQueueOptions {
  readonly clock: Clock;
  readonly settings: SettingsReader;
  readonly limits: AdmissionLimits;
  /** Requests that this VM may run at once. */
  readonly runningLimit: () => number;
  readonly meter: TokenMeter;
  readonly metrics: Metrics;
}

type Verdict = Refusal | "admitted";

/** The admission of one VM. */
export class AdmissionQueue {
  readonly #options: AdmissionQueueOptions;
  readonly #verdicts = new Map<string, (verdict: Verdict) => void>();
  #state: AdmissionState;

  constructor(options: AdmissionQueueOptions) {
    this.#options = options;
    this.#state = createAdmission(options.runningLimit());
  }

  /** Requests that run now. */
  get runningCount(): number {
    return this.#state.running.size;
  }

  /** Requests that wait now. */
  get waitingCount(): number {
    return this.#state.waiting.size;
  }

  /** Whether a request with this id runs or waits. */
  has(requestId: string): boolean {
    return this.#state.running.has(requestId) || this.#verdicts.has(requestId);
  }

  /** Waits for the turn of a request. */
  async enter(context: RequestContext): Promise<Verdict> {
    const { requestId } = context.request;
    const verdict = new Promise<Verdict>((resolve) => {
      this.#verdicts.set(requestId, resolve);
    });
    const onEnd = (): void => this.#giveUp(context);
    context.lifetime.signal.addEventListener("abort", onEnd, { once: true });
    this.#apply({
      kind: "capacity",
      runningLimit: this.#options.runningLimit(),
    });
    this.#apply({ kind: "arrive", arrival: this.#arrivalOf(context) });
    const result = await verdict;
    context.lifetime.signal.removeEventListener("abort", onEnd);
    return result;
  }

  /** Gives back the place of a request that was let in. */
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

  #giveUp(context: RequestContext): void {
    const { requestId } = context.request;
    const refusal = endRefusal(context.lifetime, {
      hasRun: false,
      isKeyed: false,
    });
    if (refusal === undefined) return;
    this.#tell(requestId, refusal);
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
      this.#tell(effect.requestId, "admitted");
      return;
    }
    this.#options.metrics.count("admission.refused", 1, {
      reason: effect.reason,
    });
    this.#tell(
      effect.requestId,
      notRun(effect.reason, {
        detail: "the work that waits leaves no room before the deadline",
        retryAfterMs: effect.retryAfterMs,
      }),
    );
  }

  #tell(requestId: string, verdict: Verdict): void {
    const resolve = this.#verdicts.get(requestId);
    this.#verdicts.delete(requestId);
    resolve?.(verdict);
  }
}

/** Creates the filter over a queue. */
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
