/** Backend servers that crash under some requests and start again elsewhere. */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { type TestContext } from "node:test";
import { type ServiceRoute } from "../../model/mod.ts";
import { startBackend, type TestBackend } from "../servers/backend_fixture.ts";
import {
  startGateway,
  type TestGateway,
  untilReady,
} from "../gateway_fixture.ts";
import { MemoryTopic } from "../store/memory_topic_fixture.ts";

const SERVER_COUNT = 6;
const RESTART_AFTER_MS = 500;
/** The entry of a server that has ended stays in the store for this long. */
const EXPIRY_MS = 1500;

/** A request that reached a server. */
export interface Arrival {
  readonly atMs: number;
  readonly request: IncomingMessage;
}

/** Answers a request, or calls `crash`. */
export type CrashingHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  crash: () => void,
) => void;

/** Servers that start again under another id after a crash. */
export class CrashingServers {
  readonly topic = new MemoryTopic();
  readonly arrivals: Arrival[] = [];
  readonly crashesMs: number[] = [];
  readonly #handler: CrashingHandler;
  readonly #running = new Set<TestBackend>();
  #count = 0;
  #isOver = false;

  constructor(handler: CrashingHandler) {
    this.#handler = handler;
  }

  async start(): Promise<void> {
    if (this.#isOver) return;
    const backend: TestBackend = await startBackend(
      `server-${this.#count++}`,
      (request, response) => {
        this.arrivals.push({ atMs: performance.now(), request });
        this.#handler(request, response, () => void this.#crash(backend));
      },
    );
    this.#running.add(backend);
    this.topic.put(backend.server.id, backend.server);
  }

  async stop(): Promise<void> {
    this.#isOver = true;
    await Promise.all([...this.#running].map((backend) => backend.close()));
  }

  async #crash(backend: TestBackend): Promise<void> {
    if (!this.#running.delete(backend)) return;
    this.crashesMs.push(performance.now());
    await backend.close();
    void delay(EXPIRY_MS).then(() => this.topic.drop(backend.server.id));
    await delay(RESTART_AFTER_MS);
    await this.start();
  }
}

/** Starts the servers and VMs before them; both end with the test. */
export async function startVms(
  context: TestContext,
  servers: CrashingServers,
  { vmCount, route }: {
    readonly vmCount: number;
    readonly route: ServiceRoute;
  },
): Promise<TestGateway[]> {
  for (let index = 0; index < SERVER_COUNT; index++) await servers.start();
  const operators = new MemoryTopic();
  const vms: TestGateway[] = [];
  for (let index = 1; index <= vmCount; index++) {
    vms.push(
      await startGateway({
        vm: `vm-${index}`,
        operators,
        servers: servers.topic,
        seeds: vms.slice(0, 1).map(({ peerAddress }) => peerAddress),
        ...index === 1 ? { manifest: { routes: [route] } } : {},
      }),
    );
  }
  context.after(async () => {
    await Promise.all(vms.map(({ gateway }) => gateway.stop()));
    await servers.stop();
  });
  for (const vm of vms) await untilReady(vm);
  return vms;
}
