/** Program that runs one peer node and answers its parent process over IPC. */
import process from "node:process";
import { noMetrics, silentLogger } from "../../src/model/mod.ts";
import { processEffects } from "../../src/client/effects.ts";
import { createPeerNode } from "../../src/wire/mod.ts";

/** Resource usage of the process and number of members it lists. */
export interface ProcessSample {
  readonly kind: "sample";
  /** Bytes sent and received on peer connections. */
  readonly bytes: number;
  readonly cpuMicros: number;
  readonly rssBytes: number;
  readonly presentCount: number;
}

/** Message sent once the process listens. */
export interface ProcessReady {
  readonly kind: "ready";
  readonly peerAddress: string;
}

const [vm = "vm", place = "place", seed = ""] = process.argv.slice(2);

const node = createPeerNode({
  ...processEffects,
  vm,
  place,
  address: "127.0.0.1:1",
  listenHost: "127.0.0.1",
  listenPort: 0,
  deployment: "bench",
  sharedKey: "bench",
  seeds: seed === "" ? [] : [seed],
  records: {
    freshness: () => ({ position: 0, ageMs: 0 }),
    recordsAfter: () => [],
    offer: () => {},
  },
  bills: { hold: () => false, drop: () => {} },
  logger: silentLogger,
  metrics: noMetrics,
});

function sample(): ProcessSample {
  const { sentBytes, receivedBytes } = node.counts();
  const { user, system } = process.cpuUsage();
  return {
    kind: "sample",
    bytes: sentBytes + receivedBytes,
    cpuMicros: user + system,
    rssBytes: process.memoryUsage.rss(),
    presentCount: node.membership().members.size,
  };
}

process.on("message", () => process.send?.(sample()));
process.on("disconnect", () => process.exit(0));
const peerAddress = (await node.start())._unsafeUnwrap();
const ready: ProcessReady = { kind: "ready", peerAddress };
process.send?.(ready);
