/**
 * One attempt to produce an answer on one engine: opens the stream, relays the
 * expected frames, drops the others and returns the error, if any.
 */
import {
  type AnswerFrame,
  type Clock,
  type Metrics,
  type ModelRequest,
  REQUEST_CLASSES,
  type VersionName,
} from "../model/mod.ts";
import {
  EngineError,
  type EngineStream,
  type EngineTransport,
  isNotExecuted,
  type ServerReport,
} from "../client/mod.ts";
import { type AnswerProgress } from "./answer_progress.ts";
import { type RequestContext } from "./context.ts";
import { checkFrame } from "./frame_check.ts";
import { type SilenceTimeouts } from "./limits.ts";
import { type RouteTarget } from "./router.ts";

/** Dependencies of an attempt. */
export interface AttemptOptions {
  readonly engines: EngineTransport;
  readonly recordReport: (
    server: string,
    report: ServerReport | undefined,
  ) => void;
  readonly markLeaving: (server: string) => void;
  readonly silence: Readonly<
    Record<ModelRequest["requestClass"], SilenceTimeouts>
  >;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

export interface AttemptInput {
  readonly context: RequestContext;
  readonly request: ModelRequest;
  readonly version: VersionName;
  readonly target: RouteTarget;
  readonly progress: AnswerProgress;
  /** Whether to open a new connection. */
  readonly isFresh: boolean;
  readonly relay: (frame: AnswerFrame) => Promise<void>;
}

interface Timing {
  readonly startedAtMs: number;
  firstTokenAtMs: number | undefined;
  /** Number of tokens after the first one. */
  laterTokenCount: number;
}

/** Makes one attempt; returns `undefined` when the answer is complete. */
export async function attemptAnswer(
  input: AttemptInput,
  options: AttemptOptions,
): Promise<EngineError | undefined> {
  const { target } = input;
  const timing: Timing = {
    startedAtMs: options.clock(),
    firstTokenAtMs: undefined,
    laterTokenCount: 0,
  };
  const error = await run(input, options, timing);
  target.use.finish(resultOf(error, timing, options.clock()));
  if (error?.fault === "leaving") options.markLeaving(target.server);
  if (error !== undefined) {
    options.metrics.count("attempt.failed", 1, { fault: error.fault });
  }
  return error;
}

async function run(
  input: AttemptInput,
  options: AttemptOptions,
  timing: Timing,
): Promise<EngineError | undefined> {
  const { context, request, version, target, progress } = input;
  const attempt = context.run.attemptCount;
  context.run.attemptCount += 1;
  progress.startAttempt();
  const hadRunBefore = context.run.hasRun;
  context.run.hasRun = true;
  const opened = await options.engines.generate({
    address: target.address,
    requestId: request.requestId,
    attempt,
    version,
    messages: request.messages,
    maxTokens: request.maxTokens,
    priority: REQUEST_CLASSES.indexOf(request.requestClass),
    fromIndex: progress.nextIndex,
    prefix: progress.text,
  }, {
    ...options.silence[request.requestClass],
    signal: context.lifetime.signal,
    isFresh: input.isFresh,
  });
  if (opened.isErr()) {
    if (isNotExecuted(opened.error.fault)) context.run.hasRun = hadRunBefore;
    return opened.error;
  }
  options.recordReport(target.server, opened.value.report);
  return relayFrames(opened.value, attempt, { input, options, timing });
}

interface RelayState {
  readonly input: AttemptInput;
  readonly options: AttemptOptions;
  readonly timing: Timing;
}

async function relayFrames(
  stream: EngineStream,
  attempt: number,
  { input, options, timing }: RelayState,
): Promise<EngineError | undefined> {
  const { context, progress, request, relay } = input;
  const { signal } = context.lifetime;
  for await (const read of stream.frames) {
    if (signal.aborted) return new EngineError("cancelled", "request ended");
    if (read.isErr()) return read.error;
    const frame = read.value;
    const verdict = checkFrame(
      { requestId: request.requestId, attempt, index: progress.nextIndex },
      frame,
    );
    if (verdict !== "relay") {
      options.metrics.count("frame.dropped", 1, { verdict });
      if (verdict === "gap") return new EngineError("broken", "frames missing");
      continue;
    }
    if (timing.firstTokenAtMs === undefined) {
      timing.firstTokenAtMs = options.clock();
    } else timing.laterTokenCount += 1;
    if (frame.usage !== undefined) {
      timing.laterTokenCount = frame.usage.outputTokens - 1;
    }
    progress.add(frame);
    await relay(frame);
    if (frame.isLast) return undefined;
  }
  return new EngineError("broken", "the stream ended before its last frame");
}

function resultOf(
  error: EngineError | undefined,
  timing: Timing,
  nowMs: number,
): Parameters<RouteTarget["use"]["finish"]>[0] {
  const { startedAtMs, firstTokenAtMs } = timing;
  const firstTokenMs = firstTokenAtMs === undefined
    ? undefined
    : firstTokenAtMs - startedAtMs;
  const isComplete = error === undefined;
  const tokenMs = firstTokenAtMs === undefined || timing.laterTokenCount < 1
    ? undefined
    : (nowMs - firstTokenAtMs) / timing.laterTokenCount;
  return {
    verdict: verdictOf(error),
    firstTokenMs,
    serviceMs: isComplete ? nowMs - startedAtMs : undefined,
    tokenMs: isComplete ? tokenMs : undefined,
  };
}

function verdictOf(
  error: EngineError | undefined,
): "success" | "failure" | "neutral" {
  if (error === undefined) return "success";
  switch (error.fault) {
    case "cancelled":
    case "busy":
    case "leaving":
    case "not_loaded":
      return "neutral";
    default:
      return "failure";
  }
}
