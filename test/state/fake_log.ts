/**
 * The log service in memory, behind the transport function of its client. A
 * test switches its faults: an outage, slow answers, lost answers, retention.
 */
import { err, ok, type Result } from "neverthrow";
import {
  type LogAnswer,
  type LogCall,
  type LogFailure,
  type LogTransport,
} from "../../src/client/mod.ts";
import { encodeBatch, type LogRecord } from "../../src/state/mod.ts";
import { type VirtualTime } from "./virtual_time.ts";

interface Stream {
  first: number;
  readonly payloads: string[];
}

/** What becomes of the next calls. */
export interface LogFaults {
  isDown: boolean;
  latencyMs: number;
  /** How many of the next appends take effect while their answer is lost. */
  lostAppendAnswers: number;
  /** Whether the log goes down as it loses an answer. */
  isDownAfterLostAnswer: boolean;
  /** How many of the next appends are lost on their way. */
  lostAppends: number;
}

const TIMEOUT_MESSAGE = "the call timed out";

/** An in-memory log service. */
export class FakeLog {
  readonly faults: LogFaults = {
    isDown: false,
    latencyMs: 1,
    lostAppendAnswers: 0,
    isDownAfterLostAnswer: false,
    lostAppends: 0,
  };
  appendCount = 0;
  readonly #streams = new Map<string, Stream>();
  readonly #time: VirtualTime;
  readonly #wakes = new Set<AbortController>();

  constructor(time: VirtualTime) {
    this.#time = time;
  }

  /** Carries a call as the HTTP transport does. */
  readonly transport: LogTransport = async (call) => {
    await this.#time.sleep(this.faults.latencyMs, call.signal);
    if (this.faults.isDown) return ok(answerOf(503, { error: "outage" }));
    const url = new URL(call.target, "http://log");
    const stream = this.stream(url.pathname.split("/")[2] ?? "");
    if (call.method === "POST") return this.#append(stream, call);
    return await this.#read(stream, url, call);
  };

  /** The stream of this name. */
  stream(name: string): Stream {
    const stream = this.#streams.get(name) ?? { first: 0, payloads: [] };
    this.#streams.set(name, stream);
    return stream;
  }

  /** Puts one entry into a stream, past all faults. */
  put(name: string, records: readonly LogRecord[]): void {
    this.stream(name).payloads.push(encodeBatch(records));
    this.#wake();
  }

  /** Forgets the entries of a stream below `first`. */
  dropBefore(name: string, first: number): void {
    this.stream(name).first = first;
  }

  #append(stream: Stream, call: LogCall): Result<LogAnswer, LogFailure> {
    if (this.faults.lostAppends > 0) {
      this.faults.lostAppends -= 1;
      return err(lost());
    }
    this.appendCount += 1;
    const { payload } = JSON.parse(call.body ?? "") as { payload: string };
    const offset = stream.payloads.push(payload) - 1;
    const isLost = this.faults.lostAppendAnswers > 0;
    if (isLost) this.faults.lostAppendAnswers -= 1;
    if (isLost && this.faults.isDownAfterLostAnswer) this.faults.isDown = true;
    this.#wake();
    return isLost ? err(lost()) : ok(answerOf(200, { offset }));
  }

  async #read(
    stream: Stream,
    url: URL,
    call: LogCall,
  ): Promise<Result<LogAnswer, LogFailure>> {
    const from = Number(url.searchParams.get("from"));
    const limit = Number(url.searchParams.get("limit"));
    const endMs = this.#time.clock() + Number(url.searchParams.get("waitMs"));
    while (from >= stream.payloads.length && this.#time.clock() < endMs) {
      await this.#waitForWake(endMs - this.#time.clock(), call.signal);
      if (call.signal?.aborted === true) return err(lost());
    }
    if (this.faults.isDown) return ok(answerOf(503, { error: "outage" }));
    const start = Math.max(from, stream.first);
    const records = stream.payloads.slice(start, start + limit).map((
      payload,
      index,
    ) => ({ offset: start + index, payload }));
    const next = stream.payloads.length;
    return ok(answerOf(200, { first: stream.first, next, records }));
  }

  async #waitForWake(waitMs: number, signal?: AbortSignal): Promise<void> {
    const wake = new AbortController();
    this.#wakes.add(wake);
    const stop = (): void => wake.abort();
    signal?.addEventListener("abort", stop, { once: true });
    await this.#time.sleep(waitMs, wake.signal);
    signal?.removeEventListener("abort", stop);
    this.#wakes.delete(wake);
  }

  #wake(): void {
    for (const wake of this.#wakes) wake.abort();
  }
}

function lost(): LogFailure {
  return { kind: "lost", message: TIMEOUT_MESSAGE, retryAfterMs: 0 };
}

function answerOf(status: number, body: unknown): LogAnswer {
  return { status, retryAfterMs: undefined, body: JSON.stringify(body) };
}
