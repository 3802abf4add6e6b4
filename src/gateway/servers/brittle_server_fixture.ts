/**
 * A backend server that is brittle: it runs a few requests at once, lets some
 * wait, and falls over when it has to turn away more than a number of them in
 * one second. What it runs goes on when its caller has gone.
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import {
  sendCompleteAnswer,
  startBackend,
  type TestBackend,
} from "./backend_fixture.ts";

const WINDOW_MS = 1000;

/** How a server behaves, now and later. */
export interface BrittlePlay {
  readonly slotCount: number;
  readonly workMs: number;
  /** How many requests may wait now. */
  readonly maxWaitingCount: () => number;
  /** What it says of itself now; `undefined` if it is not brittle. */
  readonly refusalsPerSecond: () => number | undefined;
  /** How long it is down after a fall. */
  readonly downMs: number;
}

/** A brittle server, and what happened to it. */
export interface BrittleServer {
  readonly backend: TestBackend;
  /** Times of its falls. */
  readonly fallsAtMs: readonly number[];
  /** Times of the requests that it turned away. */
  readonly refusalsAtMs: readonly number[];
}

interface Job {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** Starts a brittle server. */
export async function startBrittleServer(
  id: string,
  play: BrittlePlay,
): Promise<BrittleServer> {
  const fallsAtMs: number[] = [];
  const refusalsAtMs: number[] = [];
  const running = new Set<Job>();
  const waiting: Job[] = [];
  let downUntilMs = -Infinity;

  const begin = (job: Job): void => {
    running.add(job);
    setTimeout(() => {
      // A job that a fall ended is no longer among the running ones.
      if (!running.delete(job)) return;
      sendCompleteAnswer(job.request, job.response);
      const next = waiting.shift();
      if (next !== undefined) begin(next);
    }, play.workMs);
  };
  const fall = (nowMs: number): void => {
    fallsAtMs.push(nowMs);
    downUntilMs = nowMs + play.downMs;
    for (const { request } of [...running, ...waiting]) {
      request.socket.destroy();
    }
    running.clear();
    waiting.length = 0;
  };
  const refuse = ({ request, response }: Job): void => {
    const nowMs = performance.now();
    refusalsAtMs.push(nowMs);
    const most = play.refusalsPerSecond();
    const count =
      refusalsAtMs.filter((atMs) =>
        atMs > Math.max(nowMs - WINDOW_MS, downUntilMs)
      ).length;
    if (most !== undefined && count > most) {
      fall(nowMs);
      request.socket.destroy();
      return;
    }
    response.writeHead(503, {
      "test-id": String(request.headers["test-id"]),
      "test-not-run": "1",
    });
    response.end();
  };

  const backend = await startBackend(id, (request, response) => {
    if (performance.now() < downUntilMs) {
      request.socket.destroy();
      return;
    }
    const brittle = play.refusalsPerSecond();
    if (brittle !== undefined) {
      response.setHeader("test-brittle", String(brittle));
    }
    const job = { request, response };
    if (running.size < play.slotCount) begin(job);
    else if (waiting.length < play.maxWaitingCount()) waiting.push(job);
    else refuse(job);
  }, { slotCount: play.slotCount });
  return { backend, fallsAtMs, refusalsAtMs };
}
