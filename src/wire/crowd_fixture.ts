/**
 * Crowds of clients that keep to no limit: each sends its bytes as fast as they
 * are taken, reads nothing and stays. And the process that they send to, of which
 * memory and descriptors are watched.
 */
import { readdirSync, readFileSync } from "node:fs";
import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { splitAddress } from "../model/mod.ts";

/** A crowd of clients that all send the same. */
export interface Crowd {
  readonly address: string;
  readonly connectionCount: number;
  /** Sent once. */
  readonly head: string;
  /** Sent over and over after it. */
  readonly repeated?: string;
  readonly repeatCount?: number;
}

const CONNECT_PAUSE_MS = 3;
/** Repetitions that are written at once. */
const WRITTEN_BYTES = 64 * 1024;
const SENDING_TIMEOUT_MS = 10_000;
/** How long clients stay after they have sent what is taken. */
const STAY_MS = 2000;
const SAMPLE_MS = 50;
const KIB = 1024;

/** Sends a crowd's bytes; resolves when all its clients have gone. */
export async function playCrowd(crowd: Crowd): Promise<void> {
  const sockets: Socket[] = [];
  const sending: Promise<void>[] = [];
  for (let index = 0; index < crowd.connectionCount; index++) {
    const socket = connect(splitAddress(crowd.address));
    // Nothing is read until the end.
    socket.pause();
    socket.on("error", () => {});
    sockets.push(socket);
    sending.push(send(socket, crowd));
    await delay(CONNECT_PAUSE_MS);
  }
  const timeout = new AbortController();
  await Promise.race([
    Promise.all(sending),
    delay(SENDING_TIMEOUT_MS, undefined, { signal: timeout.signal }),
  ]);
  timeout.abort();
  await delay(STAY_MS);
  for (const socket of sockets) socket.resetAndDestroy();
}

async function send(
  socket: Socket,
  { head, repeated = "", repeatCount = 0 }: Crowd,
): Promise<void> {
  socket.write(head);
  const perWrite = Math.max(1, Math.floor(WRITTEN_BYTES / repeated.length));
  let leftCount = repeatCount;
  while (leftCount > 0 && !socket.destroyed) {
    const count = Math.min(perWrite, leftCount);
    leftCount -= count;
    if (!socket.write(repeated.repeat(count))) await drained(socket);
  }
}

function drained(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    socket.once("drain", resolve);
    socket.once("close", () => resolve());
  });
}

/** What a process has used. */
export interface ProcessUse {
  readonly peakMb: number;
  readonly peakDescriptorCount: number;
}

/** Watches a process; the result is what it has used until the call. */
export function watchProcess(pid: number): () => ProcessUse {
  let peakMb = 0;
  let peakDescriptorCount = 0;
  const sample = (): void => {
    try {
      const status = readFileSync(`/proc/${pid}/status`, "utf8");
      peakMb = Number(/^VmHWM:\s+(\d+)/m.exec(status)?.[1] ?? 0) / KIB;
      const { length } = readdirSync(`/proc/${pid}/fd`);
      peakDescriptorCount = Math.max(peakDescriptorCount, length);
    } catch {
      // The process has ended, which tests see by themselves.
    }
  };
  const timer = setInterval(sample, SAMPLE_MS);
  timer.unref();
  return () => {
    sample();
    clearInterval(timer);
    return { peakMb: Math.round(peakMb), peakDescriptorCount };
  };
}
