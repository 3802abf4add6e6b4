/**
 * An in-memory log service behind the transport function of its client. Tests
 * control its faults: an outage, slow replies, lost appends and lost replies,
 * and entries dropped by retention.
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

/** Faults of the next calls. */
export interface LogFaults {
  isDown: boolean;
  latencyMs: number;
  /** How many of the next appends take effect but lose their reply. */
  lostAppendAnswers: number;
  /** Whether the log goes down when it loses a reply. */
  isDownAfterLostAnswer: boolean;
  /** How many of the next appends are lost before they take effect. */
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
  readonly #waiters = new Set<AbortController>();

  constructor(time: VirtualTime) {
    this.#time = time;
  }

  /** Answers a call as the HTTP transport does. */
  readonly transport: LogTransport = async (call) => {
    await this.#time.sleep(this.faults.latencyMs, call.signal);
    if (this.faults.isDown) return ok(answerOf(503, { error: "outage" }));
    const url = new URL(call.target, "http://log");
    const stream = this.stream(url.pathname.split("/")[2] ?? "");
    if (call.method === "POST") return this.#append(stream, call);
    return await this.#read(stream, url, call);
  };

  /** Returns the stream with this name and creates it if needed. */
  stream(name: string): Stream {
    const stream = this.#streams.get(name) ?? { first: 0, payloads: [] };
    this.#streams.set(name, stream);
    return stream;
  }

  /** Appends one entry to a stream, regardless of faults. */
  put(name: string, records: readonly LogRecord[]): void {
    this.stream(name).payloads.push(encodeBatch(records));
    this.#notifyWaiters();
  }

  /** Drops the entries of a stream before offset `first`. */
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
    this.#notifyWaiters();
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
      await this.#waitForAppend(endMs - this.#time.clock(), call.signal);
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

  async #waitForAppend(waitMs: number, signal?: AbortSignal): Promise<void> {
    const waiter = new AbortController();
    this.#waiters.add(waiter);
    const stop = (): void => waiter.abort();
    signal?.addEventListener("abort", stop, { once: true });
    await this.#time.sleep(waitMs, waiter.signal);
    signal?.removeEventListener("abort", stop);
    this.#waiters.delete(waiter);
  }

  #notifyWaiters(): void {
    for (const waiter of this.#waiters) waiter.abort();
  }
}

function lost(): LogFailure {
  return { kind: "lost", message: TIMEOUT_MESSAGE, retryAfterMs: 0 };
}

function answerOf(status: number, body: unknown): LogAnswer {
  return { status, retryAfterMs: undefined, body: JSON.stringify(body) };
}
