/** Counts the requests of a handler by how they met their objective. */
import { type Result } from "neverthrow";
import {
  type Answer,
  type AnswerSink,
  classOf,
  type HandleOptions,
  type IdentifiedRequest,
  type RequestHandler,
  settingsPathOf,
} from "../filter/mod.ts";
import {
  type AnswerFrame,
  type CallerRequest,
  type Clock,
  type Objective,
  type Refusal,
  type RefusalReason,
  type VersionName,
} from "../model/mod.ts";
import { type BurnCounter } from "./burn_counter.ts";
import { type BurnOutcome } from "./burn_window.ts";

/** Refusals caused by the request or the settings, not by this service. */
const UNCOUNTED_REASONS: readonly RefusalReason[] = [
  "bad_request",
  "unauthorized",
  "no_allowed_version",
  "version_withdrawn",
  "budget_spent",
  "key_in_use",
  "key_expired",
  "key_reused",
  "answer_unknown",
  "cancelled",
];

export interface BurnObserver {
  readonly counter: BurnCounter;
  readonly clock: Clock;
}

/** Wraps a handler so that every request is counted. */
export function countRequests(
  handler: RequestHandler,
  observer: BurnObserver,
): RequestHandler {
  return {
    settings: handler.settings,
    retainedAnswers: handler.retainedAnswers,
    limits: handler.limits,
    makeId: handler.makeId,
    handle: (identified, options) =>
      handleCounted(handler, { observer, identified, options }),
    isAuthorised: (workspace, bearer) =>
      handler.isAuthorised(workspace, bearer),
    holdForPeer: (bill) => handler.holdForPeer(bill),
    stopAccepting: () => handler.stopAccepting(),
    status: () => handler.status(),
    run: (signal) => handler.run(signal),
    flush: () => handler.flush(),
  };
}

interface CountedCall {
  readonly observer: BurnObserver;
  readonly identified: IdentifiedRequest<CallerRequest>;
  readonly options: HandleOptions;
}

async function handleCounted(
  handler: RequestHandler,
  { observer, identified, options }: CountedCall,
): Promise<Result<Answer, Refusal>> {
  const { counter, clock } = observer;
  const { request } = identified;
  const startedAtMs = clock();
  const sink = new TimedSink(options.sink, clock);
  const answer = await handler.handle(identified, { ...options, sink });
  const outcome = outcomeOf(answer, {
    objective: objectiveOf(handler, request),
    firstTokenMs: (sink.firstAtMs ?? startedAtMs) - startedAtMs,
    wholeAnswerMs: clock() - startedAtMs,
  });
  if (outcome === undefined) return answer;
  counter.countRequest({
    workspace: request.workspace,
    requestClass: classOf(request),
    outcome,
    version: versionOf(answer),
  });
  return answer;
}

function versionOf(answer: Result<Answer, Refusal>): VersionName | undefined {
  if (answer.isErr() || answer.value.kind !== "model") return undefined;
  return answer.value.version;
}

/** Measured times of one answer and the objective that applies to them. */
export interface AnswerTimes {
  readonly objective: Objective | undefined;
  readonly firstTokenMs: number;
  readonly wholeAnswerMs: number;
}

/**
 * Returns how an answer met its objective; `undefined` for a refusal that is
 * not counted.
 */
export function outcomeOf(
  answer: Result<Answer, Refusal>,
  times: AnswerTimes,
): BurnOutcome | undefined {
  if (answer.isOk()) return isLate(times) ? "late" : "good";
  const { outcome, reason } = answer.error;
  if (UNCOUNTED_REASONS.includes(reason)) return undefined;
  return outcome === "not_run" ? "refused" : "lost";
}

function isLate(times: AnswerTimes): boolean {
  const { objective, firstTokenMs, wholeAnswerMs } = times;
  if (objective === undefined) return false;
  return firstTokenMs > objective.firstTokenMs ||
    wholeAnswerMs > objective.wholeAnswerMs;
}

function objectiveOf(
  handler: RequestHandler,
  request: CallerRequest,
): Objective | undefined {
  const { objectives } = handler.settings(settingsPathOf(request));
  const requestClass = classOf(request);
  return objectives.find((item) => item.requestClass === requestClass);
}

/** Records the time at which the first frame is written. */
class TimedSink implements AnswerSink {
  firstAtMs: number | undefined;
  readonly #sink: AnswerSink;
  readonly #clock: Clock;

  constructor(sink: AnswerSink, clock: Clock) {
    this.#sink = sink;
    this.#clock = clock;
  }

  begin(head: Parameters<AnswerSink["begin"]>[0]): void {
    this.#sink.begin(head);
  }

  write(frame: AnswerFrame): Promise<void> {
    this.firstAtMs ??= this.#clock();
    return this.#sink.write(frame);
  }
}
