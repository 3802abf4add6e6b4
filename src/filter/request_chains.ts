/** The order of the filters, for model requests and for plain services. */
import { type Refusal } from "../model/mod.ts";
import { type AbandonedClaims } from "./abandoned_claims.ts";
import {
  type AdmissionQueue,
  type AdmitOptions,
  createAdmit,
} from "./admit.ts";
import { createAuthorise } from "./authorise.ts";
import { createBill, createReserve } from "./bill.ts";
import { createCallService } from "./call_service.ts";
import { createCascade } from "./cascade.ts";
import { createChain, type Next } from "./chain.ts";
import { createClaim } from "./claim.ts";
import { type RequestContext, type SettingsReader } from "./context.ts";
import { type KeptAnswers } from "./kept_answers.ts";
import { createPin } from "./pin.ts";
import { type RecordOutbox } from "./record_outbox.ts";
import { createRelay } from "./relay.ts";
import { type RequestHandlerOptions } from "./request_handler_options.ts";
import { type RetryGate } from "./retry_gate.ts";
import { type Router } from "./router.ts";
import { type RunningAnswers } from "./running_answers.ts";

/** The parts that the filters of one entry share. */
export interface ChainOptions extends RequestHandlerOptions {
  readonly settings: SettingsReader;
  readonly kept: KeptAnswers;
  /** Bills that wait for the log. */
  readonly bills: RecordOutbox;
  /** Pins and outcomes that wait for the log. */
  readonly late: RecordOutbox;
  readonly abandoned: AbandonedClaims;
  readonly running: RunningAnswers;
  readonly admission: AdmissionQueue;
  readonly admit: AdmitOptions;
  readonly retries: RetryGate;
  readonly route: Router;
  readonly staleRefusal: (context: RequestContext) => Refusal | undefined;
}

/** The chain of each kind of request. */
export interface RequestChains {
  readonly model: Next;
  readonly service: Next;
}

/** Creates the chains. */
export function createChains(options: ChainOptions): RequestChains {
  const { limits, directory } = options;
  const before = [
    createAuthorise(options),
    createAdmit(options.admission, options.admit),
    createReserve(options.bills),
  ];
  const claim = createClaim({
    ...options,
    outbox: options.late,
    claimTimeoutMs: limits.claimTimeoutMs,
    outcomeTimeoutMs: limits.billTimeoutMs,
    maxOutcomeBytes: limits.maxOutcomeBytes,
  });
  const bill = createBill({
    ...options,
    outbox: options.bills,
    appendTimeoutMs: limits.billTimeoutMs,
  });
  const pin = createPin({
    ...options,
    outbox: options.late,
    appendTimeoutMs: limits.claimTimeoutMs,
  });
  const shared = {
    ...options,
    silence: limits.silence,
    maxAttempts: limits.maxAttempts,
    silenceMs: limits.silence.lookup.firstByteMs,
    noteReport: directory.note.bind(directory),
    noteLeaving: directory.noteLeaving.bind(directory),
  };
  return {
    model: createChain(
      [...before, createRelay(options.kept), pin, claim, bill],
      createCascade(shared),
    ),
    service: createChain([...before, claim, bill], createCallService(shared)),
  };
}
