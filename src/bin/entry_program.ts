/**
 * The entry of one VM: connects the journal, VM list, server directory, filters,
 * peers and HTTP server, and stops them in order.
 */
import { randomUUID } from "node:crypto";
import { presentMembers } from "../decision/mod.ts";
import {
  BudgetTable,
  createHttpApp,
  createRequestHandler,
  type RequestHandler,
  VersionSelector,
} from "../filter/mod.ts";
import { ROOT_PATH, type Settings } from "../model/mod.ts";
import {
  type LogJournal,
  runLoadPoller,
  type ServerDirectory,
} from "../client/mod.ts";
import { processEffects } from "../client/effects.ts";
import { countRequests } from "../report/burn_observer.ts";
import { burnRoutes } from "../report/burn_route.ts";
import { createOperatorCheck, createWorkspaceTokenLookup } from "./access.ts";
import { burnTask, openBurnCounter } from "./burn_setup.ts";
import { filterLimitsOf, runningLimitOf } from "./entry_limits.ts";
import { type EntryParts, type PeerNodeRef } from "./entry_parts.ts";
import { isReadyForTraffic } from "./entry_readiness.ts";
import { createRunningEntry } from "./entry_shutdown.ts";
import { statusRoute } from "./entry_status.ts";
import { listenHttp } from "./http_server.ts";
import { openJournal } from "./journal_setup.ts";
import { holdBillAtPeer, listEntries, openPeerNode } from "./peers_setup.ts";
import { runPeriodic } from "./periodic.ts";
import {
  loadPollerOptionsOf,
  openDirectory,
  openEngines,
  openRating,
  openServices,
  openVmList,
  vmSourceOf,
} from "./client_setup.ts";
import { type ProgramContext, type RunningProgram } from "./program.ts";

/** The entry and the controller of each VM append to the log. */
const WRITERS_PER_VM = 2;
const RATED_SAMPLE_SHARE = 0.2;
const RATINGS_PERIOD_MS = 1000;
const PUBLISH_TIMEOUT_MS = 3000;
const LOAD_SHARE_PERIOD_MS = 1000;

/** Starts the entry of one VM. */
export async function startEntry(
  context: ProgramContext,
): Promise<RunningProgram> {
  const parts = openParts(context);
  const { journal, handler } = parts;
  const { clock } = processEffects;
  journal.start();
  const app = createHttpApp({
    handler: countRequests(handler, { counter: parts.burn, clock }),
    listEntries: (place) => entriesOf(parts, place),
    isReady: () => parts.isReady(),
    adminRoutes: [
      statusRoute(parts),
      ...burnRoutes({ counter: parts.burn, journal }),
    ],
    isOperator: createOperatorCheck(context.settings),
    logger: context.logger,
  });
  const { host, httpPort } = context.settings.listen;
  const http = await listenHttp((request) => app.fetch(request), {
    host,
    port: httpPort,
  });
  const node = openPeerNode({ ...parts, httpAddress: http.address });
  parts.peers.node = node;
  const peerAddress = (await node.start()).match(
    (address) => address,
    (error) => {
      throw error;
    },
  );
  const abortController = new AbortController();
  const tasks = runTasks(parts, abortController.signal);
  context.logger.info("listening", { httpAddress: http.address, peerAddress });
  return createRunningEntry({
    ...parts,
    node,
    http,
    abortController,
    tasks,
  });
}

function openParts(context: ProgramContext): EntryParts {
  const { settings } = context;
  const vmList = openVmList(settings);
  const peers: PeerNodeRef = { node: undefined };
  const journal = openJournal(context, {
    readsBills: false,
    writerCount: () => WRITERS_PER_VM * vmCountOf(peers),
  });
  const directory = openDirectory(settings, {
    source: vmSourceOf(vmList),
    drains: () => {
      const root = rootOf(journal);
      return { places: root.drainedPlaces, servers: root.drainedServers };
    },
  });
  const budgets = new BudgetTable({
    journal,
    settings: (path) => journal.control().tree.resolve(path).values,
    clock: processEffects.clock,
  });
  const selector = new VersionSelector({
    ...processEffects,
    self: settings.vm,
    journal,
    rating: openRating(settings),
    budgetPressureOf: (workspace) => budgets.pressureOf(workspace),
    sampleShare: RATED_SAMPLE_SHARE,
    publishTimeoutMs: PUBLISH_TIMEOUT_MS,
    makeId: randomUUID,
  });
  const handler = openHandler(context, {
    journal,
    directory,
    selector,
    peers,
  });
  const startedAtMs = processEffects.clock();
  let wasCurrent = false;
  let wasReady = false;
  return {
    context,
    journal,
    handler,
    selector,
    budgets,
    directory,
    vmList,
    peers,
    burn: openBurnCounter(settings.vm),
    isReady: () => {
      wasCurrent ||= journal.freshness().ageMs < Infinity;
      wasReady ||= isReadyForTraffic({
        wasCurrent,
        listedVms: vmList.last()?.vms,
        areEnginesPolled: directory.hasPolledAll(rootOf(journal).modelService),
        presentCount: vmCountOf(peers),
        sinceStartMs: processEffects.clock() - startedAtMs,
      });
      return wasReady && handler.status().isAccepting;
    },
  };
}

interface HandlerSetup {
  readonly journal: LogJournal;
  readonly directory: ServerDirectory;
  readonly selector: VersionSelector;
  readonly peers: PeerNodeRef;
}

function openHandler(
  context: ProgramContext,
  { journal, directory, selector, peers }: HandlerSetup,
): RequestHandler {
  const { settings, logger, metrics } = context;
  return createRequestHandler({
    ...processEffects,
    self: settings.vm,
    journal,
    directory,
    engines: openEngines(),
    services: openServices(),
    chooseVersions: (query) => selector.choose(query),
    mayStart: (version, values) => selector.mayStart(version, values),
    shouldEscalate: (query, targetShare) =>
      selector.shouldEscalate(query, targetShare),
    mayEscalate: (request) => selector.mayEscalate(request),
    onAnswer: (request, answer) => selector.observeAnswer(request, answer),
    holdAtPeer: async (bill) => {
      const { node } = peers;
      return node !== undefined && await holdBillAtPeer(node, bill);
    },
    tokenOf: createWorkspaceTokenLookup(settings),
    tokenKeys: [settings.access.sessionTokenKey],
    distanceTo: (place) => distanceOf(context, { journal, place }),
    runningLimit: () =>
      runningLimitOf({
        slotCount: directory.slotCount(rootOf(journal).modelService),
        vmCount: vmCountOf(peers),
        bound: settings.limits.runningLimit,
      }),
    makeId: randomUUID,
    logger,
    metrics,
    limits: filterLimitsOf(settings),
  });
}

function distanceOf(
  { settings }: ProgramContext,
  options: { readonly journal: LogJournal; readonly place: string },
): { delayMs: number; egressMicroEurPerMb: number } {
  const local = settings.places.find((item) => item.place === settings.place);
  const remote = settings.places.find((item) => item.place === options.place);
  const isOtherRegion = remote === undefined || remote.region !== local?.region;
  const { egressPriceMicroEurPerMb } = rootOf(options.journal);
  return {
    delayMs: remote?.delayMs ?? 0,
    egressMicroEurPerMb: isOtherRegion ? egressPriceMicroEurPerMb : 0,
  };
}

function runTasks(parts: EntryParts, signal: AbortSignal): Promise<void[]> {
  const { context, selector, budgets, directory, handler, vmList } = parts;
  const { settings, logger } = context;
  const periodicTasks = runPeriodic([
    burnTask(parts),
    {
      name: "vm list",
      periodMs: settings.timing.vmListPeriodMs,
      run: async () => {
        const list = await vmList.refresh();
        if (list.isOk()) parts.peers.node?.applyVmList(list.value.vms);
      },
    },
    {
      name: "ratings",
      periodMs: RATINGS_PERIOD_MS,
      run: async () => {
        budgets.observe();
        selector.observe();
        await selector.publish();
      },
    },
    {
      name: "load",
      periodMs: LOAD_SHARE_PERIOD_MS,
      run: () => parts.peers.node?.setLoad(loadShareOf(handler)),
    },
  ], { logger, signal });
  const loadPolling = runLoadPoller(
    loadPollerOptionsOf(settings, directory),
    signal,
  );
  return Promise.all([periodicTasks, loadPolling, handler.run(signal)]);
}

function loadShareOf(handler: RequestHandler): number {
  const { runningCount, waitingCount, runningLimit } = handler.status();
  return (runningCount + waitingCount) / Math.max(1, runningLimit);
}

function entriesOf(
  parts: EntryParts,
  place: string | undefined,
): ReturnType<typeof listEntries> {
  const { context, journal } = parts;
  const { node } = parts.peers;
  if (node === undefined) return { entries: [], maxAgeMs: 0 };
  return listEntries(node, { context, journal, place });
}

function rootOf(journal: LogJournal): Settings {
  return journal.control().tree.resolve(ROOT_PATH).values;
}

function vmCountOf({ node }: PeerNodeRef): number {
  if (node === undefined) return 1;
  return 1 + presentMembers(node.membership()).length;
}
