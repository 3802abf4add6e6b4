/**
 * Stand-in for the platform's log service: append-only streams with offsets,
 * long-poll reads, retention by record count and an append rate limit. Its
 * switches simulate outages, latency and replies lost after the append.
 */
import { z } from "zod";
import {
  type Call,
  HttpHost,
  type ListenOptions,
  numberOf,
  pause,
  sendError,
  sendJson,
  type Standin,
} from "./http_host.ts";
import { TokenBucket } from "./token_bucket.ts";

const MAX_WAIT_MS = 30_000;
const MAX_RECORDED_COUNT = 500_000;
const PATH_PATTERN = /^\/streams\/([A-Za-z0-9.-]+)\/records$/;

const appendSchema = z.object({ payload: z.string() });

/** Options of the log. */
export interface LogOptions {
  /** Records retained per stream. */
  readonly retentionCount?: number;
  readonly appendsPerSecond?: number;
}

/** Fault switches of the log; they can be changed while it runs. */
export interface LogSwitches {
  isDown: boolean;
  delayMs: number;
  /** Number of further appends that take effect without a reply. */
  lostReplyCount: number;
  /** Share of appends, evenly spaced, that take effect without a reply. */
  lostReplyShare: number;
}

/** One record of a stream. */
export interface StoredRecord {
  readonly offset: number;
  readonly payload: string;
}

/** An append received by the log, not subject to retention. */
export interface RecordedAppend extends StoredRecord {
  readonly stream: string;
  readonly isReplyLost: boolean;
}

interface Stream {
  first: number;
  next: number;
  readonly records: StoredRecord[];
  readonly waiting: Set<() => void>;
}

/** Stand-in for the log service. */
export class LogStandin implements Standin {
  readonly switches: LogSwitches = {
    isDown: false,
    delayMs: 0,
    lostReplyCount: 0,
    lostReplyShare: 0,
  };
  /** Appends in order of arrival, and counts of refused calls and of reads. */
  readonly recorded: {
    readonly appends: RecordedAppend[];
    refusedCount: number;
    readCount: number;
  } = { appends: [], refusedCount: 0, readCount: 0 };
  readonly #host: HttpHost;
  readonly #streams = new Map<string, Stream>();
  readonly #retentionCount: number;
  readonly #bucket: TokenBucket;
  #lostShareSum = 0;

  constructor(options: LogOptions) {
    this.#retentionCount = options.retentionCount ?? 1_000_000;
    this.#bucket = new TokenBucket(options.appendsPerSecond ?? 400);
    this.#host = new HttpHost((call) => this.#serve(call));
  }

  listen(options?: ListenOptions): Promise<string> {
    return this.#host.listen(options);
  }

  close(): Promise<void> {
    return this.#host.close();
  }

  /** Appends directly, as a platform operator's tool would, not over HTTP. */
  append(name: string, payload: string): number {
    return this.#append(name, payload, false);
  }

  /** Returns the retained records of a stream. */
  records(name: string): readonly StoredRecord[] {
    return this.#streams.get(name)?.records ?? [];
  }

  async #serve(call: Call): Promise<void> {
    await pause(this.switches.delayMs);
    const name = PATH_PATTERN.exec(call.url.pathname)?.[1];
    if (this.switches.isDown) return this.#refuse(call, 503, "outage");
    if (name === undefined) {
      return sendError(call.response, 404, "no such path");
    }
    if (call.method === "POST") return this.#serveAppend(call, name);
    if (call.method === "GET") return await this.#serveRead(call, name);
    sendError(call.response, 405, "use GET or POST");
  }

  #serveAppend(call: Call, name: string): void {
    if (!this.#bucket.take()) return this.#refuse(call, 429, "append rate");
    const { payload } = appendSchema.parse(JSON.parse(call.body));
    const isReplyLost = this.#consumeLostReply();
    const offset = this.#append(name, payload, isReplyLost);
    if (isReplyLost) call.response.destroy();
    else sendJson(call.response, 200, { offset });
  }

  async #serveRead(call: Call, name: string): Promise<void> {
    this.recorded.readCount += 1;
    const from = numberOf(call.url, "from", 0);
    const limit = numberOf(call.url, "limit", 500);
    const waitMs = Math.min(numberOf(call.url, "waitMs", 0), MAX_WAIT_MS);
    const stream = this.#streamOf(name);
    if (stream.next <= from) await waitForAppend(stream, call, waitMs);
    if (this.switches.isDown) return this.#refuse(call, 503, "outage");
    const start = Math.max(from, stream.first) - stream.first;
    const records = stream.records.slice(start, start + limit);
    const { first, next } = stream;
    sendJson(call.response, 200, { first, next, records });
  }

  #refuse(call: Call, status: number, error: string): void {
    this.recorded.refusedCount += 1;
    sendError(call.response, status, error);
  }

  #consumeLostReply(): boolean {
    if (this.switches.lostReplyCount > 0) {
      this.switches.lostReplyCount -= 1;
      return true;
    }
    this.#lostShareSum += this.switches.lostReplyShare;
    if (this.#lostShareSum < 1) return false;
    this.#lostShareSum -= 1;
    return true;
  }

  #append(name: string, payload: string, isReplyLost: boolean): number {
    const stream = this.#streamOf(name);
    const offset = stream.next;
    stream.next += 1;
    stream.records.push({ offset, payload });
    if (stream.records.length > this.#retentionCount) {
      stream.records.shift();
      stream.first += 1;
    }
    if (this.recorded.appends.length < MAX_RECORDED_COUNT) {
      this.recorded.appends.push({
        stream: name,
        offset,
        payload,
        isReplyLost,
      });
    }
    for (const wake of stream.waiting) wake();
    return offset;
  }

  #streamOf(name: string): Stream {
    const found = this.#streams.get(name);
    if (found !== undefined) return found;
    const stream = {
      first: 0,
      next: 0,
      records: [],
      waiting: new Set<never>(),
    };
    this.#streams.set(name, stream);
    return stream;
  }
}

function waitForAppend(
  stream: Stream,
  call: Call,
  waitMs: number,
): Promise<void> {
  if (waitMs <= 0) return Promise.resolve();
  return new Promise((resolve) => {
    const wake = (): void => {
      clearTimeout(timer);
      stream.waiting.delete(wake);
      call.response.off("close", wake);
      resolve();
    };
    const timer = setTimeout(wake, waitMs);
    stream.waiting.add(wake);
    call.response.on("close", wake);
  });
}

export function createLog(options: LogOptions = {}): LogStandin {
  return new LogStandin(options);
}
