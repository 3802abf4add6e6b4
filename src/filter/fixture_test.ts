/**
 * Fixtures for the filter tests: request handlers on an in-memory log, requests
 * and callers that collect their answers.
 */
import { ok, type Result } from "neverthrow";
import { type VersionPlan } from "../decision/mod.ts";
import {
  type AnswerFrame,
  isUsable,
  type ModelRequest,
  type NodeSettings,
  noMetrics,
  type Refusal,
  ROOT_PATH,
  type ServiceRequest,
  type Settings,
  type SettingsPath,
  silentLogger,
  usableVersions,
  type VersionName,
  type Vm,
} from "../model/mod.ts";
import { MemoryJournal, MemoryLog, ServerDirectory } from "../client/mod.ts";
import { START_POSITION } from "../state/mod.ts";
import { type AnswerSink } from "./answer_sink.ts";
import { type Answer } from "./context.ts";
import { FakeEngines, FakeServices, FakeTime } from "./fakes_test.ts";
import { DEFAULT_FILTER_LIMITS } from "./limits.ts";
import {
  createRequestHandler,
  type RequestHandler,
} from "./request_handler.ts";
import { type RequestHandlerOptions } from "./request_handler_options.ts";

export const WORKSPACE: SettingsPath = "/khomas/heritage";
export const CHEAP: VersionName = "tagger@1";
export const BEST: VersionName = "writer@1";

/** Collects the answer that one caller receives. */
export class ReceivedAnswer implements AnswerSink {
  text = "";
  readonly indices: number[] = [];
  version: VersionName | undefined;
  sessionToken: string | undefined;

  begin(head: Parameters<AnswerSink["begin"]>[0]): void {
    this.version = head.version;
    this.sessionToken = head.sessionToken;
  }

  write(frame: AnswerFrame): Promise<void> {
    this.text += frame.text;
    this.indices.push(frame.index);
    return Promise.resolve();
  }
}

/** An entry under test. */
export interface Entry {
  readonly journal: MemoryJournal;
  readonly handler: RequestHandler;
}

/** The log, time, engines and services shared by the entries under test. */
export class Fixture {
  readonly log = new MemoryLog();
  readonly time = new FakeTime();
  readonly engines = new FakeEngines();
  readonly services = new FakeServices();
  #idCount = 0;

  constructor(settings: NodeSettings = {}) {
    this.edit(ROOT_PATH, {
      allowed: [CHEAP, BEST],
      services: ["records"],
      catalogue: [price(CHEAP, 1), price(BEST, 10)],
      ...settings,
    });
  }

  /** Appends an edit of one node of the settings tree. */
  edit(path: SettingsPath, set: NodeSettings): void {
    this.log.push({
      id: `edit-${this.#idCount++}`,
      kind: "edit",
      path,
      change: { set, clear: [] },
      base: START_POSITION + Number.MAX_SAFE_INTEGER,
      author: "test",
      note: "",
    });
  }

  /** Starts an entry on the shared log. */
  entry(self = "vm-1", options: Partial<RequestHandlerOptions> = {}): Entry {
    const journal = new MemoryJournal(this.log);
    const directory = directoryOf(this.time, journal);
    const handler = createRequestHandler({
      self,
      journal,
      directory,
      engines: this.engines,
      services: this.services,
      chooseVersions: ({ settings }) => ok(planOf(settings)),
      mayStart: (version, settings) => isUsable(settings, version),
      shouldEscalate: () => Promise.resolve(false),
      mayEscalate: () => true,
      onAnswer: () => {},
      holdAtPeer: () => Promise.resolve(false),
      tokenOf: () => undefined,
      tokenKeys: ["key-1"],
      distanceTo: () => ({ delayMs: 1, egressMicroEurPerMb: 0 }),
      runningLimit: () => 8,
      clock: this.time.clock,
      sleep: this.time.sleep,
      random: () => 0,
      makeId: () => `id-${self}-${this.#idCount++}`,
      logger: silentLogger,
      metrics: noMetrics,
      limits: DEFAULT_FILTER_LIMITS,
      ...options,
    });
    return { journal, handler };
  }
}

function planOf(settings: Settings): VersionPlan {
  const [first = CHEAP, ...others] = usableVersions(settings);
  const isCascade = settings.cascade !== "off";
  const escalations = isCascade ? others : [];
  const escalation = isCascade ? "required" : "none";
  return { first, escalations, escalation, meetsTarget: true };
}

function price(
  version: VersionName,
  microEur: number,
): NonNullable<NodeSettings["catalogue"]>[number] {
  return {
    version,
    inputPriceMicroEurPerMTok: microEur * 1_000_000,
    outputPriceMicroEurPerMTok: microEur * 1_000_000,
    memoryMb: 1000,
    priorQualityShare: 0.8,
  };
}

function directoryOf(
  time: FakeTime,
  journal: MemoryJournal,
): ServerDirectory {
  const vms: readonly Vm[] = [
    vmOf("e-1", "engine", "models"),
    vmOf("e-2", "engine", "models"),
    vmOf("s-1", "service", "records"),
    vmOf("s-2", "service", "records"),
  ];
  const directory = new ServerDirectory({
    self: "vm-1",
    source: { vms: () => vms, ageMs: () => 0 },
    places: ["khomas-a"],
    clock: time.clock,
    drains: () => {
      const { drainedPlaces, drainedServers } = journal.control().tree
        .resolve(ROOT_PATH).values;
      return { places: drainedPlaces, servers: drainedServers };
    },
    priorFirstTokenMs: 100,
    priorServiceMs: 1000,
  });
  directory.views("models", "");
  for (const server of ["e-1", "e-2"]) {
    directory.recordReport(server, reportOf(server));
  }
  return directory;
}

function vmOf(vm: string, kind: Vm["kind"], service: string): Vm {
  return {
    vm,
    kind,
    service,
    place: "khomas-a",
    address: `${vm}:80`,
    peerAddress: "",
    status: "live",
  };
}

function reportOf(
  server: string,
): NonNullable<Parameters<ServerDirectory["recordReport"]>[1]> {
  return {
    server,
    sequence: 1,
    versions: [CHEAP, BEST].map((version) => ({
      version,
      state: "loaded",
      adapters: [],
    })),
    runningCount: 0,
    queuedCount: 0,
    slotCount: 8,
    memoryMb: 0,
    usedMemoryMb: 0,
    role: "both",
    isLeaving: false,
  };
}

let requestCount = 0;

/** Creates a model request with a new id. */
export function modelRequest(
  fields: Partial<ModelRequest> = {},
): ModelRequest {
  requestCount += 1;
  return {
    kind: "model",
    requestId: `r-${requestCount}`,
    workspace: WORKSPACE,
    session: undefined,
    idempotencyKey: undefined,
    deadlineMs: 60_000,
    requestClass: "drafting",
    messages: [{ role: "user", content: "summarise the testimony" }],
    maxTokens: 100,
    isStreaming: true,
    ...fields,
  };
}

/** Creates a POST to a plain service, with an idempotency key. */
export function serviceRequest(
  fields: Partial<ServiceRequest> = {},
): ServiceRequest {
  requestCount += 1;
  return {
    kind: "service",
    requestId: `r-${requestCount}`,
    workspace: WORKSPACE,
    session: undefined,
    idempotencyKey: "key-1",
    deadlineMs: 10_000,
    service: "records",
    method: "POST",
    target: "/submissions",
    contentType: "text/plain",
    body: Buffer.from("a submission"),
    ...fields,
  };
}

/** A request in progress. */
export interface SentRequest {
  readonly received: ReceivedAnswer;
  /** Aborts when the caller disconnects. */
  readonly callerAbort: AbortController;
  readonly result: Promise<Result<Answer, Refusal>>;
}

/** Sends a request to an entry. */
export function send(
  entry: Entry,
  request: ModelRequest | ServiceRequest,
  sessionToken?: string,
): SentRequest {
  const received = new ReceivedAnswer();
  const callerAbort = new AbortController();
  const result = entry.handler.handle(
    { request, bearer: undefined, sessionToken },
    { sink: received, callerSignal: callerAbort.signal },
  );
  return { received, callerAbort, result };
}

/** Returns the refusal of a request; throws if it was answered. */
export async function refusalOf(sent: SentRequest): Promise<Refusal> {
  const result = await sent.result;
  if (result.isErr()) return result.error;
  throw new Error("the request was answered, not refused");
}

export * from "./fakes_test.ts";
