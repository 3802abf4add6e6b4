/** The filter chains for model requests and for plain services. */
import { type Refusal } from "../model/mod.ts";
import { type AbandonedClaims } from "./abandoned_claims.ts";
import {
  type AdmissionQueue,
  type AdmissionQueueOptions,
  createAdmissionFilter,
} from "./admit.ts";
import { createAuthorisationFilter } from "./authorise.ts";
import { createBillingFilter, createBillReservationFilter } from "./bill.ts";
import { createCallService } from "./call_service.ts";
import { createCascade } from "./cascade.ts";
import { createChain, type Next } from "./chain.ts";
import { createClaimFilter } from "./claim.ts";
import { type RequestContext, type SettingsReader } from "./context.ts";
import { type RetainedAnswers } from "./retained_answers.ts";
import { createPinFilter } from "./pin.ts";
import { type RecordOutbox } from "./record_outbox.ts";
import { createAnswerRetentionFilter } from "./answer_retention.ts";
import { type RequestHandlerOptions } from "./request_handler_options.ts";
import { type RetryGate } from "./retry_gate.ts";
import { type Router } from "./router.ts";
import { type RunningAnswers } from "./running_answers.ts";

/** Options and components shared by the filters of one entry. */
export interface ChainOptions extends RequestHandlerOptions {
  readonly settings: SettingsReader;
  readonly retainedAnswers: RetainedAnswers;
  /** Bills that are not yet confirmed in the log. */
  readonly billOutbox: RecordOutbox;
  /** Pins and outcomes that are not yet confirmed in the log. */
  readonly recordOutbox: RecordOutbox;
  readonly abandoned: AbandonedClaims;
  readonly running: RunningAnswers;
  readonly admission: AdmissionQueue;
  readonly admit: AdmissionQueueOptions;
  readonly retries: RetryGate;
  readonly route: Router;
  readonly staleRefusal: (context: RequestContext) => Refusal | undefined;
}

/** The filter chain of each kind of request. */
export interface RequestChains {
  readonly model: Next;
  readonly service: Next;
}

export function createChains(options: ChainOptions): RequestChains {
  const { limits, directory } = options;
  const commonFilters = [
    createAuthorisationFilter(options),
    createAdmissionFilter(options.admission, options.admit),
    createBillReservationFilter(options.billOutbox),
  ];
  const claim = createClaimFilter({
    ...options,
    outbox: options.recordOutbox,
    claimTimeoutMs: limits.claimTimeoutMs,
    outcomeTimeoutMs: limits.billTimeoutMs,
    maxOutcomeBytes: limits.maxOutcomeBytes,
  });
  const bill = createBillingFilter({
    ...options,
    outbox: options.billOutbox,
    appendTimeoutMs: limits.billTimeoutMs,
  });
  const pin = createPinFilter({
    ...options,
    outbox: options.recordOutbox,
    appendTimeoutMs: limits.claimTimeoutMs,
  });
  const dispatchOptions = {
    ...options,
    silence: limits.silence,
    maxAttempts: limits.maxAttempts,
    responseTimeoutMs: limits.silence.lookup.firstByteMs,
    recordReport: directory.recordReport.bind(directory),
    markLeaving: directory.markLeaving.bind(directory),
  };
  return {
    model: createChain(
      [
        ...commonFilters,
        createAnswerRetentionFilter(options.retainedAnswers),
        pin,
        claim,
        bill,
      ],
      createCascade(dispatchOptions),
    ),
    service: createChain(
      [...commonFilters, claim, bill],
      createCallService(dispatchOptions),
    ),
  };
}
