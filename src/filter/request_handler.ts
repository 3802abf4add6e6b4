/**
 * Builds the filter chains of one entry VM from its dependencies and limits and
 * runs requests through them. Opens no sockets itself.
 */
import { type Result } from "neverthrow";
import {
  type CallerRequest,
  notRun,
  type Refusal,
  type SettingsPath,
} from "../model/mod.ts";
import { type RecordOf } from "../state/mod.ts";
import { AbandonedClaims } from "./abandoned_claims.ts";
import { AdmissionQueue } from "./admit.ts";
import { type AnswerSink } from "./answer_sink.ts";
import { staleRefusal } from "./authorise.ts";
import { type Answer, RunRecord, type SettingsReader } from "./context.ts";
import { type IdentifiedRequest } from "./identify.ts";
import { RetainedAnswers } from "./retained_answers.ts";
import { type FilterLimits } from "./limits.ts";
import { PrefixLocations } from "./prefix_locations.ts";
import { RecordOutbox } from "./record_outbox.ts";
import { type RequestHandlerOptions } from "./request_handler_options.ts";
import { createChains } from "./request_chains.ts";
import { RequestLifetime } from "./request_lifetime.ts";
import { RetryGate } from "./retry_gate.ts";
import { createRouter } from "./router.ts";
import { RunningAnswers } from "./running_answers.ts";
import { createSettingsReader } from "./settings_cache.ts";
import { TokenMeter } from "./token_meter.ts";

/** Current counters of an entry VM, as its admin status lists them. */
export interface HandlerStatus {
  readonly runningCount: number;
  readonly waitingCount: number;
  /** Maximum number of requests that this VM runs concurrently. */
  readonly runningLimit: number;
  /** Bills in the outbox, including those stored for peers. */
  readonly heldBillCount: number;
  /** Pins and outcomes in the outbox. */
  readonly lateRecordCount: number;
  /** Answers retained for callers that resume. */
  readonly keptAnswerCount: number;
  readonly isAccepting: boolean;
}

/** Sink for a request's frames and the signal that cancels it. */
export interface HandleOptions {
  readonly sink: AnswerSink;
  /** Aborts when the caller disconnects. */
  readonly callerSignal: AbortSignal;
}

/** Runs requests through the filter chains. */
export interface RequestHandler {
  readonly settings: SettingsReader;
  readonly retainedAnswers: RetainedAnswers;
  readonly limits: FilterLimits;
  readonly makeId: () => string;
  handle(
    identified: IdentifiedRequest<CallerRequest>,
    options: HandleOptions,
  ): Promise<Result<Answer, Refusal>>;
  /** Whether `bearer` is the workspace's token, or the workspace has none. */
  isAuthorised(workspace: SettingsPath, bearer: string | undefined): boolean;
  /** Queues a peer's bill for the log; returns false if the outbox is full. */
  holdForPeer(bill: RecordOf<"bill">): boolean;
  /** Refuses new requests; those in progress finish. */
  stopAccepting(): void;
  status(): HandlerStatus;
  /** Appends queued records to the log periodically until `signal` aborts. */
  run(signal: AbortSignal): Promise<void>;
  /** Appends the queued records to the log once. */
  flush(): Promise<void>;
}

const SHUTDOWN_RETRY_MS = 1000;

/** Creates the request handler of one entry VM. */
export function createRequestHandler(
  options: RequestHandlerOptions,
): RequestHandler {
  return new Handler(options);
}

class Handler implements RequestHandler {
  readonly settings: SettingsReader;
  readonly retainedAnswers: RetainedAnswers;
  readonly limits: FilterLimits;
  readonly makeId: () => string;
  readonly #options: RequestHandlerOptions;
  readonly #chains: ReturnType<typeof createChains>;
  readonly #billOutbox: RecordOutbox;
  readonly #recordOutbox: RecordOutbox;
  readonly #abandonedClaims = new AbandonedClaims();
  readonly #running = new RunningAnswers();
  readonly #admission: AdmissionQueue;
  #isAccepting = true;

  constructor(options: RequestHandlerOptions) {
    const { journal, limits } = options;
    this.#options = options;
    this.limits = limits;
    this.makeId = options.makeId;
    this.settings = createSettingsReader(journal);
    this.retainedAnswers = new RetainedAnswers({
      maxAnswers: limits.maxRetainedAnswers,
      maxBytes: limits.maxRetainedBytes,
    });
    const outbox = {
      journal,
      maxRecords: limits.maxOutboxRecords,
      appendTimeoutMs: limits.billTimeoutMs,
    };
    this.#billOutbox = new RecordOutbox(outbox);
    this.#recordOutbox = new RecordOutbox(outbox);
    const admit = {
      ...options,
      settings: this.settings,
      limits: limits.admission,
      meter: new TokenMeter(options.clock),
    };
    this.#admission = new AdmissionQueue(admit);
    this.#chains = createChains({
      ...options,
      settings: this.settings,
      retainedAnswers: this.retainedAnswers,
      billOutbox: this.#billOutbox,
      recordOutbox: this.#recordOutbox,
      abandoned: this.#abandonedClaims,
      running: this.#running,
      admission: this.#admission,
      admit,
      retries: new RetryGate(options.clock, limits.retry),
      route: createRouter({
        table: options.directory,
        prefixLocations: new PrefixLocations(),
        distanceTo: options.distanceTo,
        clock: options.clock,
        random: options.random,
        ...(options.routePolicy === undefined
          ? {}
          : { policy: options.routePolicy }),
      }),
      staleRefusal: (context) =>
        staleRefusal(context, { journal, settings: this.settings }),
    });
    journal.onChange(() => this.#onChange());
  }

  async handle(
    identified: IdentifiedRequest<CallerRequest>,
    { sink, callerSignal }: HandleOptions,
  ): Promise<Result<Answer, Refusal>> {
    const { request } = identified;
    const { clock, sleep } = this.#options;
    const lifetime = new RequestLifetime({
      clock,
      sleep,
      deadlineMs: request.deadlineMs,
    });
    const onDisconnect = (): void => lifetime.end("caller_gone");
    if (callerSignal.aborted) onDisconnect();
    else callerSignal.addEventListener("abort", onDisconnect, { once: true });
    try {
      const chain = this.#chains[request.kind];
      return await chain({
        ...identified,
        lifetime,
        sink,
        run: new RunRecord(),
        plan: undefined,
        entryRefusal: this.#entryRefusal(),
      });
    } finally {
      callerSignal.removeEventListener("abort", onDisconnect);
      lifetime.close();
    }
  }

  isAuthorised(workspace: SettingsPath, bearer: string | undefined): boolean {
    const token = this.#options.tokenOf(workspace);
    return token === undefined || token === bearer;
  }

  holdForPeer(bill: RecordOf<"bill">): boolean {
    return this.#billOutbox.offer({ record: bill, shardKey: bill.requestId });
  }

  stopAccepting(): void {
    this.#isAccepting = false;
  }

  status(): HandlerStatus {
    return {
      runningCount: this.#admission.runningCount,
      waitingCount: this.#admission.waitingCount,
      runningLimit: this.#options.runningLimit(),
      heldBillCount: this.#billOutbox.size,
      lateRecordCount: this.#recordOutbox.size,
      keptAnswerCount: this.retainedAnswers.count,
      isAccepting: this.#isAccepting,
    };
  }

  async run(signal: AbortSignal): Promise<void> {
    const { sleep, limits } = this.#options;
    while (!signal.aborted) {
      await sleep(limits.outboxRetryMs, signal).catch(() => {});
      await this.flush();
    }
  }

  async flush(): Promise<void> {
    this.#abandonedClaims.sweep(this.#options.journal, this.#recordOutbox);
    if (this.#recordOutbox.size > 0) await this.#recordOutbox.flush();
    if (this.#billOutbox.size > 0) await this.#billOutbox.flush();
  }

  #onChange(): void {
    this.#running.stopWithdrawn(this.settings);
  }

  #entryRefusal(): Refusal | undefined {
    if (this.#isAccepting) return undefined;
    return notRun("shutting_down", {
      detail: "this VM is shutting down; use another address",
      retryAfterMs: SHUTDOWN_RETRY_MS,
    });
  }
}
