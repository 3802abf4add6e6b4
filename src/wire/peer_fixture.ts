/** Real peer nodes on loopback addresses, for tests of the wire layer. */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";
import { seededRandom } from "../decision/membership_fixture.ts";
import { noMetrics, silentLogger, type Sleep } from "../model/mod.ts";
import {
  encodeBatch,
  type Position,
  positionOf,
  type RawEntry,
} from "../state/mod.ts";
import { createPeerNode, type PeerNode } from "./peer_node.ts";
import { type PeerNodeOptions } from "./peer_node_options.ts";
import { type RecordFreshness, type RecordSource } from "./record_exchange.ts";
import { type PeerBillStore } from "./responder.ts";

const HOST = "127.0.0.1";
const POLL_MS = 10;

/** A sleep that resolves early when its signal aborts. */
export const sleep: Sleep = (durationMs, signal) =>
  delay(durationMs, undefined, signal === undefined ? {} : { signal })
    .catch(() => {});

/** Polls until `isDone`; throws after `limitMs`. */
export async function until(
  isDone: () => boolean,
  limitMs = 10_000,
): Promise<void> {
  const endMs = performance.now() + limitMs;
  while (!isDone()) {
    if (performance.now() > endMs) throw new Error("condition not reached");
    await delay(POLL_MS);
  }
}

/** A record source in memory. */
export class MemoryRecords implements RecordSource {
  readonly entries: RawEntry[] = [];

  freshness(): RecordFreshness {
    const last = this.entries.at(-1);
    const position = last === undefined ? 0 : positionOf(last.offset, 0);
    return { position, ageMs: 0 };
  }

  recordsAfter(position: Position, limit: number): RawEntry[] {
    return this.entries
      .filter(({ offset }) => positionOf(offset, 0) > position)
      .slice(0, limit);
  }

  offer(entries: readonly RawEntry[]): void {
    for (const entry of entries) {
      if (entry.offset === this.entries.length) this.entries.push(entry);
    }
  }
}

/** A bill store in memory with a limited capacity. */
export class MemoryBills implements PeerBillStore {
  readonly storedBills = new Set<string>();
  readonly #capacity: number;

  constructor(capacity = 16) {
    this.#capacity = capacity;
  }

  hold(vm: string, bill: { readonly requestId: string }): boolean {
    if (this.storedBills.size >= this.#capacity) return false;
    this.storedBills.add(`${vm} ${bill.requestId}`);
    return true;
  }

  drop(vm: string, requestId: string): void {
    this.storedBills.delete(`${vm} ${requestId}`);
  }
}

/** Creates a log entry with one edit. */
export function editEntry(offset: number): RawEntry {
  const payload = encodeBatch([{
    kind: "edit",
    id: `edit-${offset}`,
    path: "/khomas",
    change: { set: { maxConcurrent: offset }, clear: [] },
    base: 0,
    author: "operator",
    note: "",
  }]);
  return { offset, payload };
}

/** Creates a node with short periods; it is not started. */
export function nodeOf(
  vm: string,
  fields: Partial<PeerNodeOptions> = {},
): PeerNode {
  return createPeerNode({
    vm,
    place: "khomas-a",
    address: `${HOST}:1`,
    listenHost: HOST,
    listenPort: 0,
    deployment: "kavango",
    sharedKey: "a shared key",
    seeds: [],
    membership: {
      periodMs: 100,
      directTimeoutMs: 40,
      suspicionPeriods: 6,
    },
    records: new MemoryRecords(),
    bills: new MemoryBills(),
    clock: () => performance.now(),
    random: seededRandom(1),
    sleep,
    logger: silentLogger,
    metrics: noMetrics,
    ...fields,
  });
}

/** Starts a node and returns its listening address. */
export async function startNode(node: PeerNode): Promise<string> {
  return (await node.start())._unsafeUnwrap();
}

/** Whether a VM is alive in a node's membership. */
export function hasAliveMember(node: PeerNode, vm: string): boolean {
  return node.membership().members.get(vm)?.update.status === "alive";
}

/** Starts a listener that passes every socket to `onSocket`. */
export async function startListener(
  onSocket: (socket: Socket) => void,
): Promise<{ readonly address: string; readonly close: () => void }> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    onSocket(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  const close = (): void => {
    server.close();
    for (const socket of sockets) socket.destroy();
  };
  return { address: `${HOST}:${port}`, close };
}

/** Connects a plain socket to an address. */
export async function connectSocket(address: string): Promise<Socket> {
  const [host = "", port = ""] = address.split(":");
  const socket = connect(Number(port), host);
  socket.on("error", () => {});
  await new Promise<void>((resolve) => socket.once("connect", resolve));
  return socket;
}
