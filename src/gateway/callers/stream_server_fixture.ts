/**
 * Streams in chunks from servers that break off, fall silent or deliver late,
 * drawn from a seed.
 */
import { type Socket } from "node:net";
import { type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  type BackendServer,
  type Random,
  type ServiceRoute,
} from "../../model/mod.ts";
import { seededRandom } from "../../decision/membership_fixture.ts";
import { startGateway, untilReady } from "../gateway_fixture.ts";
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
