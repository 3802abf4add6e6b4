/**
 * A backend server on a fixed loopback port that a test ends and starts again.
 * It records the times at which requests arrive.
 */
import { createServer, type Server } from "node:http";
import { type AddressInfo } from "node:net";
import { sendCompleteAnswer } from "./backend_fixture.ts";
import { LOOPBACK_HOST } from "../../model/loopback_fixture.ts";

/** A server that can be ended and started again at its address. */
export interface RestartableServer {
  readonly address: string;
  /** Times at which requests arrived since the latest start. */
  readonly arrivalsMs: readonly number[];
  readonly end: () => Promise<void>;
  readonly start: () => Promise<void>;
}

/** Starts a server that answers each request after `workMs`. */
export async function startRestartable(
  { workMs }: { readonly workMs: number },
): Promise<RestartableServer> {
  const arrivalsMs: number[] = [];
  let http: Server | undefined;
  let port = 0;
  const start = async (): Promise<void> => {
    const server = createServer((request, response) => {
      arrivalsMs.push(performance.now());
      request.resume();
      setTimeout(() => sendCompleteAnswer(request, response), workMs);
    });
    await new Promise<void>((resolve) =>
      server.listen(port, LOOPBACK_HOST, resolve)
    );
    ({ port } = server.address() as AddressInfo);
    arrivalsMs.length = 0;
    http = server;
  };
  await start();
  return {
    address: `${LOOPBACK_HOST}:${port}`,
    arrivalsMs,
    start,
    end: () =>
      new Promise((resolve) => {
        if (http === undefined) return resolve();
        http.close(() => resolve());
        http.closeAllConnections();
        http = undefined;
      }),
  };
}

/** The most arrivals in any window of a length. */
export function mostInWindow(
  arrivalsMs: readonly number[],
  windowMs: number,
): number {
  const sorted = [...arrivalsMs].sort((a, b) => a - b);
  let most = 0;
  let first = 0;
  for (const [index, atMs] of sorted.entries()) {
    while (atMs - (sorted[first] ?? 0) >= windowMs) first += 1;
    most = Math.max(most, index - first + 1);
  }
  return most;
}
