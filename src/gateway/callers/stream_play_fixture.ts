/**
 * Streams in chunks from servers that break off, and a caller that reads the
 * bytes as they are and goes on with the number of the last event that it got.
 */
import { connect, type Socket } from "node:net";
import { type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  type BackendServer,
  type Random,
  type ServiceRoute,
  splitAddress,
} from "../../model/mod.ts";
import { seededRandom } from "../../decision/membership_fixture.ts";
import { API_HOST, startGateway, untilReady } from "../gateway_fixture.ts";
import { answerHeadOf, startRawServer } from "../servers/raw_server_fixture.ts";
import { MemoryTopic } from "../store/memory_topic_fixture.ts";

/** Every stream may be sent again as often as its route allows. */
export const RETRY_BOUND = { ratio: 9, slackCount: 900, windowMs: 10_000 };

/** What a server sends in answer to one request for a stream. */
export interface ServedPart {
  readonly bytes: Buffer;
  /** Lengths of the chunks, in turn. */
  readonly chunkBytes: readonly number[];
  /** The pause after each chunk; short ones now and then if absent. */
  readonly paceMs?: number;
  /** `stall`: nothing more comes; `late`: the `rest` comes after `lateMs`. */
  readonly end: "whole" | "close" | "reset" | "stall" | "late";
  readonly rest?: Buffer;
  readonly lateMs?: number;
  readonly headers?: readonly string[];
}

/** A request for a stream at a server. */
export interface StreamArrival {
  readonly requestId: string;
  readonly stream: string;
  /** The last event that the sender of the request has; 0 if it names none. */
  readonly last: number;
  /** The header as it was sent. */
  readonly lastText: string | undefined;
  /** Which arrival of the stream this is at all servers, from 1 on. */
  readonly arrival: number;
  readonly model: string | undefined;
}

/** Starts servers that answer by one function. */
export async function startStreamServers(
  context: TestContext,
  ids: readonly string[],
  partOf: (arrival: StreamArrival) => ServedPart,
): Promise<BackendServer[]> {
  const arrivals = new Map<string, number>();
  const started = ids.map((id) =>
    startRawServer(context, {
      id,
      answer: (socket, requestId, head) => {
        const stream = requestId.split("~")[0] ?? "";
        const arrival = (arrivals.get(stream) ?? 0) + 1;
        arrivals.set(stream, arrival);
        const lastText = headerIn(head, "(?:test-last|last-event-id)");
        const model = headerIn(head, "test-model");
        const last = Number(lastText ?? 0);
        const part = partOf({
          requestId,
          stream,
          last,
          lastText,
          arrival,
          model,
        });
        void sendPart(socket, requestId, part);
      },
    })
  );
  return (await Promise.all(started)).map(({ server }) => server);
}

export interface StreamVmOptions {
  readonly serverCount: number;
  readonly route: ServiceRoute;
  readonly partOf: (arrival: StreamArrival) => ServedPart;
}

/** Starts a VM before such servers and returns its address for callers. */
export async function startStreamVm(
  context: TestContext,
  { serverCount, route, partOf }: StreamVmOptions,
): Promise<string> {
  const ids = Array.from({ length: serverCount }, (_, index) => `s-${index}`);
  const servers = new MemoryTopic();
  for (const server of await startStreamServers(context, ids, partOf)) {
    servers.put(server.id, server);
  }
  const vm = await startGateway({
    servers,
    manifest: { routes: [route] },
    settings: { retryBound: RETRY_BOUND },
  });
  context.after(() => vm.gateway.stop());
  await untilReady(vm);
  return vm.callerAddress;
}

function headerIn(head: string, name: string): string | undefined {
  return new RegExp(`\\r\\n${name}: ?(.*)\\r\\n`, "i").exec(head)?.[1];
}

async function sendPart(
  socket: Socket,
  requestId: string,
  part: ServedPart,
): Promise<void> {
  const { bytes, end, rest, lateMs, headers = [] } = part;
  socket.setNoDelay(true);
  socket.write(
    answerHeadOf(
      requestId,
      "content-type: text/event-stream",
      "transfer-encoding: chunked",
      ...headers,
    ),
  );
  await sendChunks(socket, bytes, part);
  if (end === "late" && rest !== undefined) {
    await delay(lateMs);
    await sendChunks(socket, rest, part);
  }
  if (end === "whole" || end === "late") socket.end("0\r\n\r\n");
  else if (end === "close") socket.end();
  else if (end === "reset") socket.resetAndDestroy();
}

async function sendChunks(
  socket: Socket,
  bytes: Buffer,
  { chunkBytes, paceMs }: ServedPart,
): Promise<void> {
  for (let at = 0, turn = 0; at < bytes.length; turn++) {
    const size = chunkBytes[turn % chunkBytes.length] ?? bytes.length;
    const part = bytes.subarray(at, at + size);
    at += part.length;
    socket.write(`${part.length.toString(16)}\r\n`);
    socket.write(part);
    const isDone = socket.write("\r\n");
    if (!isDone) await drained(socket);
    else if (paceMs !== undefined) await delay(paceMs);
    else if (turn % 8 === 7) await delay(1);
    if (socket.destroyed) return;
  }
}

function drained(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    socket.once("drain", resolve);
    socket.once("close", resolve);
  });
}

/** One answer as its caller received it. */
export interface RawAnswer {
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
): Promise<RawAnswer> {
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

function answerOf(bytes: Buffer): RawAnswer {
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

const SEED_FACTOR = 0x9e3779b1;
const SKIPPED_DRAWS = 16;

/** A random source of its own for each of several parts of a play. */
export function randomFor(seed: number, ...parts: readonly number[]): Random {
  let key = seed;
  for (const part of parts) key = Math.imul(key, SEED_FACTOR) + part;
  const random = seededRandom(Math.imul(key, SEED_FACTOR));
  // The first draws of similar seeds are similar.
  for (let draw = 0; draw < SKIPPED_DRAWS; draw++) random();
  return random;
}

/** Returns one of the items. */
export function drawFrom<Item>(items: readonly Item[], random: Random): Item {
  const item = items[Math.floor(random() * items.length)];
  if (item === undefined) throw new RangeError("no items to draw from");
  return item;
}

/** Events of a stream, from 1 on, of random lengths within the bounds. */
export function eventsOfLength(
  { stream, random, count, bytes }: {
    readonly stream: string;
    readonly random: Random;
    readonly count: number;
    readonly bytes: { readonly min: number; readonly max: number };
  },
): Buffer[] {
  return Array.from({ length: count }, (_, index) => {
    const size = bytes.min + Math.floor(random() * (bytes.max - bytes.min));
    const text = `${stream} ${index + 1} `;
    const data = text.repeat(Math.ceil(size / text.length));
    return Buffer.from(`id: ${index + 1}\ndata: ${data}\n\n`);
  });
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
