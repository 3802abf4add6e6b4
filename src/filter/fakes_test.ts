/**
 * Fakes for the filter tests: engines and services that follow a script, and
 * time that only the test advances.
 */
import { err, ok, type Result } from "neverthrow";
import { type AnswerFrame, type ServiceRequest } from "../model/mod.ts";
import {
  EngineError,
  type EngineStream,
  type EngineTransport,
  type GenerateCall,
  type GenerateOptions,
  type ServiceAnswer,
  type ServiceCallOptions,
  type ServiceError,
  type ServiceTransport,
} from "../client/mod.ts";

/** One call that an engine received. */
export interface ReceivedCall extends GenerateCall {
  readonly isFresh: boolean;
}

/** The frames of one attempt. */
export type Frames = AsyncGenerator<Result<AnswerFrame, EngineError>>;

/** Answers one call. */
export type EngineScript = (
  call: ReceivedCall,
  signal: AbortSignal,
) => Frames | EngineError;

/** Engines that follow a script. */
export class FakeEngines implements EngineTransport {
  script: EngineScript = (call) => framesOf(call, ["a", "b", "c"]);
  readonly calls: ReceivedCall[] = [];
  readonly cancelled: string[] = [];

  async generate(
    call: GenerateCall,
    options: GenerateOptions,
  ): Promise<Result<EngineStream, EngineError>> {
    await Promise.resolve();
    const received = { ...call, isFresh: options.isFresh };
    this.calls.push(received);
    const answer = this.script(received, options.signal);
    if (answer instanceof EngineError) return err(answer);
    return ok({ report: undefined, frames: answer });
  }

  cancel(_address: string, requestId: string): Promise<undefined> {
    this.cancelled.push(requestId);
    return Promise.resolve(undefined);
  }
}

/** Yields the frames of an answer of `words`, from the call's `fromIndex`. */
export async function* framesOf(
  call: ReceivedCall,
  words: readonly string[],
): Frames {
  for (const [index, text] of words.entries()) {
    await Promise.resolve();
    if (index < call.fromIndex) continue;
    yield ok(frameOf(call, { index, text, count: words.length }));
  }
}

/** A stream without frames that ends with an error when it is cancelled. */
export async function* silentUntil(signal: AbortSignal): Frames {
  await new Promise<void>((resolve) =>
    signal.addEventListener("abort", () => resolve())
  );
  yield err(new EngineError("cancelled", "cancelled"));
}

/** One frame of an answer of `count` frames. */
export function frameOf(
  call: ReceivedCall,
  { index, text, count }: { index: number; text: string; count: number },
): AnswerFrame {
  const { requestId, attempt, fromIndex } = call;
  const isLast = index === count - 1;
  const usage = isLast
    ? { inputTokens: 10 + fromIndex, outputTokens: count - fromIndex }
    : undefined;
  return { requestId, attempt, index, text, isLast, usage };
}

/** A service that answers 200 unless a test replaces its script. */
export class FakeServices implements ServiceTransport {
  readonly calls: ServiceCallOptions[] = [];
  script: () => Result<ServiceAnswer, ServiceError> = () =>
    ok({
      status: 200,
      contentType: "text/plain",
      body: Buffer.from("registered"),
      report: undefined,
    });

  async call(
    _request: ServiceRequest,
    options: ServiceCallOptions,
  ): Promise<Result<ServiceAnswer, ServiceError>> {
    await Promise.resolve();
    this.calls.push(options);
    return this.script();
  }
}

interface Timer {
  readonly dueMs: number;
  readonly fire: () => void;
}

/** Time that a test advances. */
export class FakeTime {
  nowMs = 0;
  #timers: Timer[] = [];

  readonly clock = (): number => this.nowMs;

  readonly sleep = (durationMs: number, signal?: AbortSignal): Promise<void> =>
    new Promise((resolve) => {
      if (durationMs <= 0) return resolve();
      this.#timers.push({ dueMs: this.nowMs + durationMs, fire: resolve });
      signal?.addEventListener("abort", () => resolve(), { once: true });
    });

  /** Advances time, fires the due timers and settles their promises. */
  async advance(durationMs: number): Promise<void> {
    this.nowMs += durationMs;
    const due = this.#timers.filter((timer) => timer.dueMs <= this.nowMs);
    this.#timers = this.#timers.filter((timer) => timer.dueMs > this.nowMs);
    for (const timer of due) timer.fire();
    await settle();
  }
}

/** Runs the event loop until resolved promises have been processed. */
export async function settle(): Promise<void> {
  for (let turn = 0; turn < 5; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
