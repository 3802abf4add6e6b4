/**
 * Watches one request for silence of its server. A plain service's server is
 * left at the timeout. An engine that works for others is given longer, by the
 * request's place in its queue, unless another server would be sooner.
 */
import { silencePatienceMs, slotWaitMs } from "../../decision/mod.ts";
import { type AttemptTarget } from "./attempt_start.ts";
import { type FleetCandidate } from "../servers/backend_fleet.ts";
import { type ForwardContext, type ForwardRequest } from "./forward_context.ts";
import { prefillKeyOf } from "../servers/prefill_rates.ts";
import { firstByteTimeoutMs, gapTimeoutMs } from "./silence_timeouts.ts";
import { ReadTimeout } from "../read_timeout.ts";
import { targetIdOf } from "./target_choice.ts";

/** Another VM moves a request from a silent server by itself first. */
const RELAY_FACTOR = 2;
/** A request is overdue when it takes longer than expected by this factor. */
const EXPECTED_MARGIN = 1.5;
/**
 * A request is lost at a working server after this many timeouts. In a stream
 * that has begun, the others would not go on without it for as long.
 */
const LOST_FACTORS = { first: 3, gap: 2 } as const;
/** It is lost at the latest after this share of its time, to be sent again. */
const LOST_TIME_SHARE = 0.5;

/** What a request waits for, and for how long at most. */
interface Silence {
  readonly kind: "first" | "gap";
  readonly sinceMs: number;
  readonly boundMs: number;
  /** Silence to expect from what was known when the request was sent. */
  readonly expectedMs: number;
}

export interface SilenceWatchOptions {
  /** Called when the silence has lasted; `mayLeave` decides then. */
  readonly onSilent: () => void;
  readonly timeLeftMs: () => number;
}

export class SilenceWatch {
  readonly #context: ForwardContext;
  readonly #request: ForwardRequest;
  readonly #options: SilenceWatchOptions;
  #target: AttemptTarget | undefined;
  #model: string | undefined;
  #silence: Silence | undefined;
  #timer: ReadTimeout | undefined;

  constructor(
    context: ForwardContext,
    request: ForwardRequest,
    options: SilenceWatchOptions,
  ) {
    this.#context = context;
    this.#request = request;
    this.#options = options;
  }

  /** Waits for the first part of an answer. */
  startFirst(target: AttemptTarget, model: string | undefined): void {
    this.#target = target;
    this.#model = model;
    const { route, caller, service } = this.#request;
    const timeoutMs = firstByteTimeoutMs(route, {
      meanMs: this.#context.fleet.meanServiceTimeMs(service),
      promptTokens: caller.promptTokens,
    });
    const isRelay = target.kind === "vm";
    const boundMs = isRelay ? RELAY_FACTOR * timeoutMs : timeoutMs;
    const expectedMs = isRelay ? 0 : this.#expectedMs(target.candidate);
    this.#start({ kind: "first", boundMs, expectedMs });
  }

  /** Waits for the next part of a stream. */
  startGap(): void {
    this.#recordFirst();
    const boundMs = gapTimeoutMs(this.#request.route);
    this.#start({ kind: "gap", boundMs, expectedMs: 0 });
  }

  stop(): void {
    this.#timer?.stop();
  }

  /** Waits once more, as no other server is reached. */
  waitOn(): void {
    const { boundMs = 0 } = this.#silence ?? {};
    this.#startTimer(boundMs);
  }

  /** Whether the request goes to the next server; waits on if not. */
  mayLeave(next: AttemptTarget): boolean {
    const patienceMs = this.#patienceMs(next);
    const { service } = this.#request;
    const kind = this.#silence?.kind ?? "first";
    const mayLeave = patienceMs <= 0;
    this.#context.metrics.count(mayLeave ? "silence_ends" : "silence_waits", {
      service,
      kind,
    });
    if (!mayLeave) this.#startTimer(patienceMs);
    return mayLeave;
  }

  /** Records the time until the first part of a prompt's answer. */
  #recordFirst(): void {
    const silence = this.#silence;
    const { caller, service } = this.#request;
    if (silence?.kind !== "first" || caller.promptTokens === 0) return;
    const { metrics, clock } = this.#context;
    const durationMs = clock() - silence.sinceMs;
    const { expectedMs } = silence;
    metrics.time("first_token_ms", { durationMs, service });
    metrics.time("first_token_expected_ms", {
      durationMs: expectedMs,
      service,
    });
  }

  #start(silence: Omit<Silence, "sinceMs">): void {
    this.#silence = { ...silence, sinceMs: this.#context.clock() };
    this.#startTimer(silence.boundMs);
  }

  #startTimer(timeoutMs: number): void {
    this.stop();
    this.#timer = new ReadTimeout(timeoutMs, this.#options.onSilent);
  }

  #patienceMs(next: AttemptTarget): number {
    const { fleet, clock } = this.#context;
    const silence = this.#silence;
    const target = this.#target;
    if (target?.kind !== "server" || silence === undefined) return 0;
    const { caller, service } = this.#request;
    // What a plain service has not answered by now is lost rather than late.
    if (caller.promptTokens === 0 || next.kind === "vm") return 0;
    const work = fleet.workOf(targetIdOf(target));
    if (work === undefined) return 0;
    const { kind, boundMs } = silence;
    const silentMs = clock() - silence.sinceMs;
    const timeMs = silentMs + this.#options.timeLeftMs();
    const lostMs = Math.min(
      LOST_FACTORS[kind] * boundMs,
      LOST_TIME_SHARE * timeMs,
    );
    const usualMs = fleet.meanServiceTimeMs(service);
    const { slotCount } = target.candidate;
    // The request itself is part of the load.
    const queueMs = work.slowness *
      this.#queueMs({ slotCount, loadCount: work.loadCount - 1 });
    return silencePatienceMs(
      {
        silentMs,
        boundMs,
        expectedMs: EXPECTED_MARGIN * silence.expectedMs,
        lostMs: Math.max(boundMs, lostMs),
        signAgeMs: work.signAgeMs,
        remainingMs: kind === "gap" ? 0 : usualMs + queueMs,
      },
      () =>
        Math.max(usualMs, this.#expectedMs(next.candidate)) + this.#prefillMs(),
    );
  }

  /** Expected time until a server sends the first part of the answer. */
  #expectedMs(candidate: FleetCandidate): number {
    if (candidate.estimate !== undefined) {
      return candidate.estimate.firstTokenMs;
    }
    const waitMs = candidate.waitMs + this.#queueMs(candidate);
    return candidate.slowness * (waitMs + this.#prefillMs());
  }

  #queueMs(server: Pick<FleetCandidate, "loadCount" | "slotCount">): number {
    const holdMs = this.#context.fleet.meanHoldMs(this.#request.service);
    return slotWaitMs({ ...server, holdMs });
  }

  #prefillMs(): number {
    const { caller, service } = this.#request;
    const key = prefillKeyOf(service, this.#model ?? caller.model);
    return this.#context.prefill.estimateMs(key, caller.promptTokens);
  }
}
