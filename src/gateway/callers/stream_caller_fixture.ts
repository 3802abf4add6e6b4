/**
 * A caller that reads the bytes of a stream as they are and goes on with the
 * number of the last event that it got.
 */
import { connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { splitAddress } from "../../model/mod.ts";
import { API_HOST } from "../gateway_fixture.ts";

/** One answer as its caller received it. */
export interface ReceivedAnswer {
  readonly status: number;
  readonly body: Buffer;
  /** Whether the last chunk was received. */
  readonly isComplete: boolean;
}

export interface ReadOptions {
  readonly path: string;
  readonly id: string;
  readonly last?: string | undefined;
  readonly host?: string;
  /** Further lines of the head. */
  readonly headers?: (request: {
    readonly id: string;
    readonly last: string | undefined;
  }) => readonly string[];
  /** How long to rest after some bytes have been read; not at all if absent. */
  readonly pauseMs?: (() => number) | undefined;
  /** A caller whose connection has been silent for so long goes elsewhere. */
  readonly leaveAfterMs?: number;
}

/** Sends one request for a stream and reads the answer to its end. */
export function readAnswer(
  address: string,
  options: ReadOptions,
): Promise<ReceivedAnswer> {
  const { path, id, last, pauseMs, leaveAfterMs } = options;
  const socket = connect(splitAddress(address));
  const lines = [
    `POST ${path} HTTP/1.1`,
    `Host: ${options.host ?? API_HOST}`,
    `test-id: ${id}`,
    "test-key: a-key",
    ...last === undefined ? [] : [`test-last: ${last}`],
    ...options.headers?.({ id, last }) ?? [],
    "Content-Length: 0",
    "\r\n",
  ];
  socket.write(lines.join("\r\n"));
  const chunks: Buffer[] = [];
  return new Promise((resolve) => {
    let timer: NodeJS.Timeout | undefined;
    let length = 0;
    const settle = (): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(answerOf(Buffer.concat(chunks)));
    };
    const wait = (): void => {
      clearTimeout(timer);
      if (leaveAfterMs !== undefined) timer = setTimeout(settle, leaveAfterMs);
    };
    wait();
    socket.on("data", (bytes) => {
      chunks.push(bytes);
      length += bytes.length;
      wait();
      const tail = Buffer.concat(chunks.slice(-3)).subarray(-7).toString();
      if (tail.endsWith("\r\n0\r\n\r\n")) return settle();
      if (isRefusal(chunks[0])) return settle();
      const restMs = pauseMs?.() ?? 0;
      if (restMs === 0) return;
      socket.pause();
      setTimeout(() => socket.resume(), restMs);
    });
    socket.on("error", settle);
    socket.on("end", settle);
  });
}

/** Whether an answer begins as one with a length, which is not read. */
function isRefusal(first: Buffer | undefined): boolean {
  return first?.subarray(0, 13).toString() !== "HTTP/1.1 200 ";
}

function answerOf(bytes: Buffer): ReceivedAnswer {
  const headEnd = bytes.indexOf("\r\n\r\n");
  const head = bytes.subarray(0, Math.max(0, headEnd)).toString();
  const status = Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1] ?? 0);
  const isChunked = /transfer-encoding: chunked/i.test(head);
  const rest = bytes.subarray(headEnd + 4);
  if (!isChunked) return { status, body: rest, isComplete: false };
  const parts: Buffer[] = [];
  let at = 0;
  for (;;) {
    const lineEnd = rest.indexOf("\r\n", at);
    const size = lineEnd < 0
      ? NaN
      : parseInt(rest.subarray(at, lineEnd).toString(), 16);
    const body = Buffer.concat(parts);
    if (size === 0) return { status, body, isComplete: true };
    if (Number.isNaN(size)) return { status, body, isComplete: false };
    parts.push(rest.subarray(lineEnd + 2, lineEnd + 2 + size));
    at = lineEnd + 2 + size + 2;
  }
}

/** What a caller has got of one stream. */
export interface StreamResult {
  /** What breaks the order of events; none as a rule. */
  readonly faults: readonly string[];
  readonly isWhole: boolean;
  /** Answers that were cut or refused. */
  readonly cutCount: number;
}

export interface PlayOptions extends Omit<ReadOptions, "id" | "last"> {
  readonly stream: string;
  /** The events due, from number 1 on. */
  readonly events: readonly Buffer[];
  readonly maxAnswers?: number;
  /** Whether the caller goes on after a cut. */
  readonly isResumable?: boolean;
}

/** Reads a stream over several VMs, in turn, until it is whole. */
export async function playStream(
  addresses: readonly string[],
  options: PlayOptions,
): Promise<StreamResult> {
  const { stream, events, maxAnswers = 12, isResumable = true } = options;
  const faults: string[] = [];
  let eventCount = 0;
  let cutCount = 0;
  for (let turn = 0; turn < maxAnswers; turn++) {
    const answer = await readAnswer(addresses[turn % addresses.length] ?? "", {
      ...options,
      // Servers that end under the same request would have it quarantined.
      path: `${options.path}?${turn}`,
      id: `${stream}~${turn}`,
      last: eventCount === 0 ? undefined : String(eventCount),
    });
    if (answer.status !== 200) {
      cutCount += 1;
      await delay(60);
      continue;
    }
    const due = Buffer.concat(events.slice(eventCount));
    const { body, isComplete } = answer;
    const range = `${stream}~${turn} from ${eventCount + 1}`;
    if (!due.subarray(0, body.length).equals(body)) {
      faults.push(`${range}: ${differenceOf(due, body)}`);
      break;
    }
    const before = eventCount;
    let bytes = 0;
    while (bytes < body.length) bytes += events[eventCount++]?.length ?? NaN;
    if (bytes > body.length) {
      faults.push(`${range}: part of event ${eventCount}`);
      eventCount -= 1;
    }
    if (isComplete && eventCount < events.length) {
      faults.push(`${range}: complete after event ${eventCount}`);
    }
    if (isComplete) return { faults, isWhole: true, cutCount };
    cutCount += 1;
    if (!isResumable) break;
    if (eventCount === before) await delay(20);
  }
  return { faults, isWhole: false, cutCount };
}

function differenceOf(due: Buffer, body: Buffer): string {
  let at = 0;
  while (at < body.length && due[at] === body[at]) at += 1;
  const from = Math.max(0, at - 40);
  const show = (bytes: Buffer): string =>
    JSON.stringify(bytes.subarray(from, at + 40).toString("latin1"));
  return `byte ${at}: ${show(body)} instead of ${show(due)}`;
}

/** Sums of the results of many streams. */
export function summaryOf(results: readonly StreamResult[]): {
  readonly faults: readonly string[];
  readonly wholeCount: number;
  readonly cutCount: number;
} {
  return {
    faults: results.flatMap(({ faults }) => faults),
    wholeCount: results.filter(({ isWhole }) => isWhole).length,
    cutCount: results.reduce((sum, { cutCount }) => sum + cutCount, 0),
  };
}
