/**
 * A gateway on loopback addresses for tests, with its own header names and
 * an in-memory store.
 */
import { type IncomingMessage, request } from "node:http";
import { manifestOf, routeOf } from "../decision/manifest_fixture.ts";
import {
  type BackendServer,
  type Manifest,
  type Random,
  type RolloutStatus,
  silentLogger,
} from "../model/mod.ts";
import { processEffects } from "../client/effects.ts";
import { type TestBackend } from "./servers/backend_fixture.ts";
import { Gateway } from "./gateway.ts";
import { type GatewayOptions } from "./gateway_options.ts";
import { MemoryTopic } from "./store/memory_topic_fixture.ts";
import {
  readTestStatus,
  recordOfStatus,
} from "./rollout/status_record_fixture.ts";
import { type GatewayProtocol } from "./protocol.ts";
import { until } from "./until_fixture.ts";
import { settingsOf } from "./settings_fixture.ts";

/** The host name that requests of the fixture are sent to. */
export const API_HOST = "api.example";
/** Keys of orders to evacuate a data centre begin with this. */
export const EVACUATION_PREFIX = "evacuate/";

/** The protocol of these tests, with headers that begin with `test-`. */
export const testProtocol: GatewayProtocol = {
  readRequest: ({ method, target, rawHeaders }) => {
    const headers = headersOf(rawHeaders);
    const id = headers.get("test-id");
    if (id === undefined) return "no id";
    const deadline = headers.get("test-deadline");
    const maxRuns = headers.get("test-max-runs");
    const parts = headers.get("test-parts");
    return {
      id,
      method,
      target,
      host: (headers.get("host") ?? "").replace(/:\d+$/, ""),
      key: headers.get("test-key"),
      deadlineMs: deadline === undefined ? undefined : Number(deadline),
      session: headers.get("test-session"),
      model: undefined,
      isAnyModelAllowed: headers.get("test-model") === "any",
      promptTokens: 0,
      promptParts: (parts?.split(" ") ?? []).map((part) => ({
        id: part,
        tokens: 10,
      })),
      lastEventId: headers.get("test-last"),
      isRelayed: headers.has("test-relayed"),
      callerRegion: headers.get("test-region"),
      maxRunCount: maxRuns === undefined ? undefined : Number(maxRuns),
      passedHeaders: [
        "Host",
        API_HOST,
        "test-id",
        id,
        ...parts === undefined ? [] : ["test-parts", parts],
      ],
    };
  },
  writeRequest: ({ caller, model, lastEventId, workspace }) => [
    ...caller.passedHeaders,
    ...workspace === undefined ? [] : ["test-workspace", workspace],
    ...model === undefined ? [] : ["test-model", model],
    ...lastEventId === undefined ? [] : ["test-last", lastEventId],
  ],
  writeRelayed: (
    { caller, callerRegion, maxRunCount, deadlineLeftMs, model, lastEventId },
  ) => [
    ...caller.passedHeaders,
    "test-deadline",
    String(deadlineLeftMs),
    "test-relayed",
    "1",
    "test-max-runs",
    String(maxRunCount),
    ...callerRegion === undefined ? [] : ["test-region", callerRegion],
    ...caller.key === undefined ? [] : ["test-key", caller.key],
    ...caller.session === undefined ? [] : ["test-session", caller.session],
    ...lastEventId === undefined ? [] : ["test-last", lastEventId],
    ...model === undefined && caller.isAnyModelAllowed
      ? ["test-model", "any"]
      : [],
  ],
  writeRefusal: ({ rawHeaders }) =>
    headersOf(rawHeaders).has("test-relayed") ? ["test-refused", "1"] : [],
  readAnswer: (status, rawHeaders) => {
    const headers = headersOf(rawHeaders);
    const confidence = headers.get("test-confidence");
    const limit = headers.get("test-limit");
    const brittle = headers.get("test-brittle");
    const pause = headers.get("test-pause");
    const passedNames = ["test-signature", "test-id"];
    return {
      status,
      isNotRun: headers.has("test-not-run"),
      isMarkedRefusal: headers.has("test-refused"),
      requestId: headers.get("test-id"),
      isGenuine: headers.has("test-signature"),
      isFramed: headers.has("content-length") ||
        headers.has("transfer-encoding"),
      mediaType: headers.get("content-type"),
      confidence: confidence === undefined ? undefined : Number(confidence),
      load: undefined,
      coldLeftMs: undefined,
      isLeaving: headers.has("test-leaving"),
      pauseMs: pause === undefined ? undefined : Number(pause) * 1000,
      refusalsPerSecond: brittle === undefined ? undefined : Number(brittle),
      limitPerSecond: limit === undefined ? undefined : Number(limit),
      passedHeaders: passedNames.flatMap((name) => {
        const value = headers.get(name);
        return value === undefined ? [] : [name, value];
      }),
    };
  },
};

/** A gateway under test. */
export interface TestGateway {
  readonly gateway: Gateway;
  readonly operators: MemoryTopic;
  readonly servers: MemoryTopic;
  readonly statuses: RolloutStatus[];
  readonly callerAddress: string;
  readonly peerAddress: string;
}

/** Options of a gateway under test. */
export interface TestGatewayOptions {
  readonly manifest?: Partial<Manifest>;
  readonly backends?: readonly TestBackend[];
  readonly vm?: string;
  readonly seeds?: readonly string[];
  readonly operators?: MemoryTopic;
  readonly servers?: MemoryTopic;
  readonly statusTopic?: MemoryTopic;
  readonly settings?: Partial<GatewayOptions["settings"]>;
  /** Returns a server at the address at which this VM reaches it. */
  readonly linked?: (server: BackendServer) => BackendServer;
  readonly random?: Random;
  readonly protocol?: GatewayProtocol;
}

/** Starts a gateway; it may not be ready yet. */
export async function startGateway(
  options: TestGatewayOptions = {},
): Promise<TestGateway> {
  const { backends = [], vm = "vm-1", linked = (server) => server } = options;
  const operators = options.operators ?? new MemoryTopic();
  const servers = options.servers ?? new MemoryTopic();
  const statusTopic = options.statusTopic ?? new MemoryTopic();
  const statuses: RolloutStatus[] = [];
  if (options.manifest !== undefined) {
    operators.put("manifest", manifestOf(options.manifest));
  }
  for (const { server } of backends) servers.put(server.id, server);
  const gateway = new Gateway({
    ...processEffects,
    random: options.random ?? processEffects.random,
    settings: settingsOf({
      vm,
      seeds: options.seeds ?? [],
      graceMs: 2000,
      entryMaxAgeMs: 100,
      ...options.settings,
    }),
    protocol: options.protocol ?? testProtocol,
    operatorTopic: operators,
    serverTopic: servers,
    statusTopic,
    readOperatorRecord: ({ key, value, offset }) => {
      if (key.startsWith(EVACUATION_PREFIX)) {
        const place = key.slice(EVACUATION_PREFIX.length);
        return { kind: "evacuation", place, isOrdered: value !== undefined };
      }
      if (value === undefined) return undefined;
      const read = JSON.parse(value.toString());
      return key === "manifest"
        ? { kind: "manifest", manifest: read }
        : { kind: "order", order: { ...read, offset } };
    },
    readServer: ({ value }) => {
      if (value === undefined) return undefined;
      const { sequence: _sequence, ...server } = JSON.parse(value.toString());
      return linked(server);
    },
    isOlderServer: (value, known) =>
      JSON.parse(value.toString()).sequence <
        JSON.parse(known.toString()).sequence,
    readStatus: readTestStatus,
    appendStatus: (status, position) => {
      const written = statusTopic.append(recordOfStatus(status), position);
      if (written.isOk()) statuses.push(status);
      return Promise.resolve(written);
    },
    logger: silentLogger,
  });
  await gateway.start();
  const { callerAddress, peerAddress } = gateway;
  return { gateway, operators, servers, statuses, callerAddress, peerAddress };
}

/** Waits until the gateway is ready. */
export async function untilReady({ gateway }: TestGateway): Promise<void> {
  await until(() => gateway.isReady());
}

/** The answer that a caller received. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
  /** Whether the body was complete according to its framing. */
  readonly isComplete: boolean;
}

/** Options of a caller's request. */
export interface CallOptions {
  readonly path?: string;
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly signal?: AbortSignal;
}

/** Sends one request on a new connection. */
export function call(
  address: string,
  { path = "/drafts/one", method = "POST", headers, body, signal }: CallOptions,
): Promise<CallerAnswer> {
  return new Promise((resolve, reject) => {
    const sent = request(`http://${address}${path}`, {
      method,
      agent: false,
      headers: {
        host: API_HOST,
        "test-id": `request-${process.pid}`,
        "test-key": "a-key",
        ...headers,
      },
      ...signal === undefined ? {} : { signal },
    });
    let hasHead = false;
    let isBroken = false;
    sent.on("error", (error) => {
      // After the head Node takes it for the end of an answer without framing.
      isBroken = true;
      if (!hasHead) reject(error);
    });
    sent.on("response", (response) => {
      hasHead = true;
      let text = "";
      const settle = (): void =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: text,
          isComplete: response.complete && !isBroken,
        });
      response.on("data", (chunk) => text += String(chunk));
      response.on("error", settle);
      response.on("end", settle);
    });
    sent.end(body);
  });
}

/** A route of idempotent requests, which may be retried. */
export const LOOKUP_ROUTE = routeOf({
  name: "lookups",
  routePrefix: "/lookups/",
  kind: "idempotent",
  timeoutMs: 2000,
  targetMs: 200,
  maxAttempts: 2,
  isResumable: false,
});

/** A route of requests that run at most once. */
export const REGISTER_ROUTE = routeOf({
  name: "registrations",
  routePrefix: "/registrations/",
  kind: "non_idempotent",
  timeoutMs: 1000,
  targetMs: 200,
  maxAttempts: 1,
  isResumable: false,
});

function headersOf(rawHeaders: readonly string[]): Map<string, string> {
  const headers = new Map<string, string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    headers.set(
      (rawHeaders[index] ?? "").toLowerCase(),
      rawHeaders[index + 1] ?? "",
    );
  }
  return headers;
}
