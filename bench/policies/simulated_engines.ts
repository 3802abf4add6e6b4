/** An engine transport from one VM to engine models, in virtual time. */
import { err, ok, type Result } from "neverthrow";
import { type AnswerFrame } from "../../src/model/mod.ts";
import {
  EngineError,
  type EngineStream,
  type EngineTransport,
  type GenerateCall,
  type GenerateOptions,
} from "../../src/client/mod.ts";
import { type EngineModel } from "./engine_model.ts";
import { versionModel } from "./site.ts";
import { type VirtualTime } from "./virtual_time.ts";

/** Options of the transport of one VM. */
export interface SimulatedEnginesOptions {
  readonly time: VirtualTime;
  readonly engineAt: (address: string) => EngineModel;
  /** One-way network delay to an engine. */
  readonly delayMsTo: (address: string) => number;
}

type FrameResult = Result<AnswerFrame, EngineError>;

/** Sends calls to engine models; an answer has a first and a last frame. */
export class SimulatedEngines implements EngineTransport {
  readonly #options: SimulatedEnginesOptions;
  /** Number of calls of `generate`. */
  attemptCount = 0;

  constructor(options: SimulatedEnginesOptions) {
    this.#options = options;
  }

  async generate(
    call: GenerateCall,
    options: GenerateOptions,
  ): Promise<Result<EngineStream, EngineError>> {
    this.attemptCount += 1;
    const { time, engineAt, delayMsTo } = this.#options;
    const engine = engineAt(call.address);
    const delayMs = delayMsTo(call.address);
    const jobAbort = new AbortController();
    const onAbort = (): void => jobAbort.abort();
    if (options.signal.aborted) onAbort();
    options.signal.addEventListener("abort", onAbort, { once: true });
    const queue = new FrameQueue();
    await time.sleep(delayMs);
    if (jobAbort.signal.aborted) return err(cancelledError());
    const afterDelay = (action: () => void) => (): void =>
      time.at(time.clock() + delayMs, action);
    const isAccepted = engine.submit({
      priority: call.priority,
      prefixKey: prefixKeyOf(call),
      ...durations(call),
      signal: jobAbort.signal,
      onStart: () => {},
      onFirstToken: afterDelay(() => queue.push(ok(frameOf(call, 0)))),
      onLastToken: afterDelay(() => queue.push(ok(frameOf(call, 1)))),
    });
    if (!isAccepted) {
      await time.sleep(delayMs);
      return err(new EngineError("busy", "engine queue is full"));
    }
    const timeoutAtMs = time.clock() + options.firstByteMs;
    time.at(timeoutAtMs, () => {
      if (!queue.hasStarted) queue.push(err(silentError()));
    });
    options.signal.addEventListener("abort", () => {
      queue.push(err(cancelledError()));
    }, { once: true });
    const first = await queue.take();
    if (first.isErr()) {
      jobAbort.abort();
      return err(first.error);
    }
    return ok({
      report: engine.publishedReport,
      frames: readFrames(first, queue, () => jobAbort.abort()),
    });
  }

  cancel(): Promise<undefined> {
    return Promise.resolve(undefined);
  }
}

class FrameQueue {
  hasStarted = false;
  #items: FrameResult[] = [];
  #wake: (() => void) | undefined;

  push(item: FrameResult): void {
    this.hasStarted = true;
    this.#items.push(item);
    this.#wake?.();
  }

  async take(): Promise<FrameResult> {
    for (;;) {
      const item = this.#items.shift();
      if (item !== undefined) return item;
      await new Promise<void>((resolve) => this.#wake = resolve);
    }
  }
}

async function* readFrames(
  first: FrameResult,
  queue: FrameQueue,
  onClose: () => void,
): AsyncGenerator<FrameResult> {
  try {
    yield first;
    for (;;) yield await queue.take();
  } finally {
    onClose();
  }
}

function durations(
  call: GenerateCall,
): { prefillMs: number; tokenMs: number; tokenCount: number } {
  const model = versionModel(call.version);
  const inputLength = call.messages[0]?.content.length ?? 0;
  return {
    prefillMs: model.prefillMs * (0.5 + inputLength / 8000),
    tokenMs: model.tokenMs,
    tokenCount: call.maxTokens,
  };
}

function frameOf(call: GenerateCall, index: number): AnswerFrame {
  const isLast = index === 1;
  return {
    requestId: call.requestId,
    attempt: call.attempt,
    index,
    text: "x",
    isLast,
    usage: isLast
      ? {
        inputTokens: (call.messages[0]?.content.length ?? 0) / 4,
        outputTokens: call.maxTokens,
      }
      : undefined,
  };
}

function prefixKeyOf(call: GenerateCall): string | undefined {
  const content = call.messages[0]?.content ?? "";
  return /^\[([^\]]+)\]/.exec(content)?.[1];
}

function silentError(): EngineError {
  return new EngineError("silent", "no first frame before the timeout");
}

function cancelledError(): EngineError {
  return new EngineError("cancelled", "cancelled");
}
