/** The engine transport of one VM in virtual time, over engine models. */
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

/** What the transport of one VM needs. */
export interface SimulatedEnginesOptions {
  readonly time: VirtualTime;
  readonly engineAt: (address: string) => EngineModel;
  readonly delayMsTo: (address: string) => number;
}

type FrameResult = Result<AnswerFrame, EngineError>;

/** Engines in virtual time; an answer is a first and a last frame. */
export class SimulatedEngines implements EngineTransport {
  readonly #options: SimulatedEnginesOptions;
  /** Attempts made. */
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
    const ended = new AbortController();
    const onAbort = (): void => ended.abort();
    if (options.signal.aborted) onAbort();
    options.signal.addEventListener("abort", onAbort, { once: true });
    const queue = new FrameQueue();
    await time.sleep(delayMs);
    if (ended.signal.aborted) return err(cancelledError());
    const later = (fire: () => void) => (): void =>
      time.at(time.clock() + delayMs, fire);
    const isTaken = engine.submit({
      priority: call.priority,
      prefixKey: prefixKeyOf(call),
      ...durations(call),
      signal: ended.signal,
      onStart: () => {},
      onFirstToken: later(() => queue.push(ok(frameOf(call, 0)))),
      onLastToken: later(() => queue.push(ok(frameOf(call, 1)))),
    });
    if (!isTaken) {
      await time.sleep(delayMs);
      return err(new EngineError("busy", "queue full"));
    }
    const silentAtMs = time.clock() + options.firstByteMs;
    time.at(silentAtMs, () => {
      if (!queue.hasStarted) queue.push(err(silentError()));
    });
    options.signal.addEventListener("abort", () => {
      queue.push(err(cancelledError()));
    }, { once: true });
    const first = await queue.take();
    if (first.isErr()) {
      ended.abort();
      return err(first.error);
    }
    return ok({
      report: engine.publishedReport,
      frames: readFrames(first, queue, () => ended.abort()),
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
  stop: () => void,
): AsyncGenerator<FrameResult> {
  try {
    yield first;
    for (;;) yield await queue.take();
  } finally {
    stop();
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
  return new EngineError("silent", "no first frame");
}

function cancelledError(): EngineError {
  return new EngineError("cancelled", "cancelled");
}
