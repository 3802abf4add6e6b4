/**
 * Roll-outs of a plain service in virtual time. VMs choose versions and servers,
 * tally answers and exchange tallies by the product's own code; servers have
 * slots and a queue, and the target's answers may fail or be slow.
 */
import { dueStage, isEnded } from "../../decision/mod.ts";
import { routeOf, serverOf } from "../../decision/manifest_fixture.ts";
import { seededRandom } from "../../decision/membership_fixture.ts";
import {
  type Random,
  type RolloutStage,
  silentLogger,
} from "../../model/mod.ts";
import { type InFlightRequest } from "../servers/backend_state.ts";
import {
  type ForwardContext,
  type ForwardRequest,
} from "../forwarding/forward_context.ts";
import { forwardContextOf } from "../forwarding/forward_context_fixture.ts";
import { testProtocol } from "../gateway_fixture.ts";
import { RolloutRegistry } from "./rollout_registry.ts";
import { createRolloutReports } from "./rollout_report.ts";
import { BUSY_SHARE } from "../servers/server_attempt.ts";
import { chooseServer } from "../servers/server_choice.ts";
import {
  MEAN_REQUEST_COUNT,
  SessionTraffic,
  type VersionChanges,
} from "./session_traffic_fixture.ts";
import {
  type AnsweredJob,
  type AnswerQuality,
  type QueuedJob,
  SlotServer,
} from "../servers/slot_server_fixture.ts";

/** What is played. */
export interface RolloutPlay {
  readonly seed: number;
  readonly vmCount: number;
  /** The first VM of each place is its store reader. */
  readonly placeCount: number;
  /** Servers of each of the two versions. */
  readonly serverCount: number;
  readonly requestsPerSecond: number;
  /** Share of the requests that belong to sessions; none by default. */
  readonly sessionShare?: number;
  /** Median work of a request. */
  readonly workMs: number;
  /** One way to a server of another place. */
  readonly farMs: number;
  readonly durationMs: number;
  /** How the target answers, by the requests that its server runs. */
  readonly targetQuality: (
    server: { readonly runningCount: number },
    random: Random,
  ) => AnswerQuality;
}

/** What was seen; times count from the order. */
export interface RolloutOutcome {
  readonly requestCount: number;
  /** Requests that reached the target before the roll-out's limit. */
  readonly targetCount: number;
  readonly targetsMs: readonly number[];
  readonly badAnswersMs: readonly number[];
  readonly sessionChanges: VersionChanges;
  readonly stage: RolloutStage | undefined;
  readonly stageMs: number;
}

interface Vm {
  readonly name: string;
  readonly place: string;
  readonly context: ForwardContext;
  readonly registry: RolloutRegistry;
}

interface Job extends QueuedJob {
  readonly vm: Vm;
  readonly inFlight: InFlightRequest;
  readonly session: string | undefined;
}

export const CANARY_SHARE = 0.15;
export const CANARY_SLACK = 30;
const SERVICE = "desk";
const TARGET = "v2";
const STEP_MS = 5;
/** The order is placed once the VMs have served for this long. */
const ORDER_AT_MS = 2000;
/** Requests go on for this long after the roll-out's limit. */
const AFTERMATH_MS = 30_000;
const SLOT_COUNT = 6;
/** Scatter of the logarithm of the work of a request. */
const WORK_SCATTER = 0.45;
/** Share of requests that a good version fails. */
const USUAL_ERROR_SHARE = 0.01;
/** One way to a server of the same place. */
const NEAR_MS = 2;
const EVALUATE_MS = 200;
const EXCHANGE_MS = 400;
const READER_EXCHANGE_MS = 700;
/** A sound version, which fails a request now and then. */
export function goodQuality(_: unknown, random: Random): AnswerQuality {
  return { workFactor: 1, isError: random() < USUAL_ERROR_SHARE };
}

/** Plays one roll-out. */
export function playRollout(play: RolloutPlay): RolloutOutcome {
  return new Simulation(play).run();
}

class Simulation {
  readonly #play: RolloutPlay;
  readonly #random: Random;
  readonly #clock = { nowMs: 0 };
  readonly #servers: SlotServer<Job>[] = [];
  readonly #vms: readonly Vm[];
  readonly #targetsMs: number[] = [];
  readonly #badAnswersMs: number[] = [];
  readonly #sessions: SessionTraffic;
  #requestCount = 0;
  #stageMs = Infinity;

  constructor(play: RolloutPlay) {
    this.#play = play;
    this.#random = seededRandom(play.seed);
    this.#sessions = new SessionTraffic(this.#random);
    for (const version of ["v1", TARGET]) {
      for (let index = 0; index < play.serverCount; index++) {
        const server = serverOf(`${version}-${index}`, {
          service: SERVICE,
          version,
          slotCount: SLOT_COUNT,
          place: `place-${index % play.placeCount}`,
        });
        this.#servers.push(
          new SlotServer<Job>(server, {
            workMs: () => this.#workMs(),
            qualityOf: (runningCount) =>
              version === TARGET
                ? play.targetQuality({ runningCount }, this.#random)
                : goodQuality(undefined, this.#random),
          }),
        );
      }
    }
    this.#vms = Array.from(
      { length: play.vmCount },
      (_, index) => this.#createVm(index),
    );
  }

  run(): RolloutOutcome {
    const { durationMs, requestsPerSecond, sessionShare = 0 } = this.#play;
    const endMs = ORDER_AT_MS + durationMs + AFTERMATH_MS;
    for (let nowMs = 0; nowMs < endMs; nowMs += STEP_MS) {
      this.#clock.nowMs = nowMs;
      if (nowMs === ORDER_AT_MS) this.#order();
      for (const server of this.#servers) {
        server.advance(nowMs, (answered) => this.#finish(server, answered));
      }
      const loneShare = 1 - sessionShare;
      const stepCount = requestsPerSecond * STEP_MS / 1000;
      if (this.#random() < loneShare * stepCount) this.#arrive(undefined);
      if (sessionShare > 0) this.#arriveOfSessions(sessionShare * stepCount);
      this.#exchange();
      if (nowMs % EVALUATE_MS !== 0) continue;
      for (const { registry } of this.#vms) registry.evaluate();
      this.#writeStage();
    }
    return {
      requestCount: this.#requestCount,
      targetCount: this.#targetsMs.filter((atMs) => atMs < durationMs).length,
      targetsMs: this.#targetsMs,
      badAnswersMs: this.#badAnswersMs,
      sessionChanges: this.#sessions.changes,
      stage: this.#vms[0]?.registry.rollouts.get(SERVICE)?.stage,
      stageMs: this.#stageMs,
    };
  }

  #createVm(index: number): Vm {
    const place = `place-${index % this.#play.placeCount}`;
    const { context } = forwardContextOf(
      this.#servers.map(({ server }) => server),
      this.#clock,
    );
    const registry = new RolloutRegistry({
      fleet: context.fleet,
      canaryShare: CANARY_SHARE,
      canarySlackCount: CANARY_SLACK,
      vm: `vm-${index}`,
      vmCount: () => this.#play.vmCount,
      clock: context.clock,
      logger: silentLogger,
    });
    registry.recordVersions([SERVICE]);
    return {
      name: `vm-${index}`,
      place,
      registry,
      context: {
        ...context,
        versions: registry,
        random: this.#random,
        distanceMs: (other) => other === place ? 0 : 80,
      },
    };
  }

  #order(): void {
    const { durationMs } = this.#play;
    for (const { registry } of this.#vms) {
      registry.applyOrder(
        { service: SERVICE, target: TARGET, durationMs, offset: 1 },
        true,
      );
    }
  }

  get #sinceOrderMs(): number {
    return this.#clock.nowMs - ORDER_AT_MS;
  }

  #arriveOfSessions(requestCount: number): void {
    const { nowMs } = this.#clock;
    if (this.#random() < requestCount / MEAN_REQUEST_COUNT) {
      this.#sessions.begin(nowMs);
    }
    for (const session of this.#sessions.due(nowMs)) this.#arrive(session);
  }

  #arrive(session: string | undefined): void {
    const vm = this.#pick(this.#vms);
    const id = `r-${this.#clock.nowMs}`;
    const accepts = this.#sinceOrderMs < 0
      ? (version: string) => version !== TARGET
      : vm.registry.acceptorOf(SERVICE, {
        key: session ?? id,
        isMultiRequest: session !== undefined,
        failedVersion: undefined,
        allowsPlace: undefined,
      }).accepts;
    const candidate = chooseServer(vm.context, this.#requestOf(id), {
      acceptsVersion: accepts,
      triedIds: new Set(),
      model: undefined,
      isRetriable: false,
    });
    const isCounted = this.#sinceOrderMs >= 0 &&
      this.#sinceOrderMs < this.#play.durationMs;
    if (isCounted) this.#requestCount += 1;
    if (session !== undefined) {
      this.#sessions.send(session, {
        isOnTarget: candidate && candidate.server.version === TARGET,
        nowMs: this.#sinceOrderMs,
      });
    }
    if (candidate === undefined) return;
    const { server } = candidate;
    const state = this.#servers.find((one) => one.server.id === server.id);
    if (state === undefined) return;
    if (server.version === TARGET) this.#targetsMs.push(this.#sinceOrderMs);
    vm.registry.adjustInFlight(SERVICE, server.version, 1);
    state.send({
      vm,
      session,
      inFlight: vm.context.fleet.trackRequest(server),
      sentAtMs: this.#clock.nowMs,
      wayMs: server.place === vm.place ? NEAR_MS : this.#play.farMs,
    });
  }

  #finish(
    { server, load }: SlotServer<Job>,
    { job, quality }: AnsweredJob<Job>,
  ): void {
    const { vm, inFlight, session } = job;
    const { isError, workFactor } = quality;
    const { nowMs } = this.#clock;
    inFlight.recordActivity();
    inFlight.recordLoad(load);
    if (session !== undefined) this.#sessions.answer(session, nowMs);
    inFlight.end(isError ? "error" : "success");
    const isBad = isError || workFactor > 1;
    if (isBad && server.version === TARGET) {
      this.#badAnswersMs.push(this.#sinceOrderMs);
    }
    vm.context.fleet.recordServiceTime(SERVICE, nowMs - job.sentAtMs);
    vm.registry.adjustInFlight(SERVICE, server.version, -1);
    vm.registry.record({
      service: SERVICE,
      version: server.version,
      backendId: server.id,
      route: "registrations",
      isError,
      isBusy: load.runningCount + load.waitingCount >=
        BUSY_SHARE * server.slotCount,
      firstByteMs: nowMs - job.sentAtMs,
      distanceMs: vm.context.distanceMs(server.place),
    });
  }

  #exchange(): void {
    const { placeCount } = this.#play;
    const readers = this.#vms.slice(0, placeCount);
    for (const [index, vm] of this.#vms.entries()) {
      const isReader = index < placeCount;
      const periodMs = isReader ? READER_EXCHANGE_MS : EXCHANGE_MS;
      if (this.#random() >= STEP_MS / periodMs) continue;
      const other = isReader
        ? this.#pick(readers.filter((reader) => reader !== vm))
        : readers[index % placeCount];
      if (other === undefined) continue;
      this.#tell(vm, other);
      this.#tell(other, vm);
    }
  }

  #tell(from: Vm, to: Vm): void {
    const { nowMs } = this.#clock;
    const readers = this.#vms.slice(0, this.#play.placeCount);
    const reports = createRolloutReports(from.registry, {
      instance: from.name,
      nowMs,
      isSenderReader: readers.includes(from),
      isReceiverReader: readers.includes(to),
    });
    for (const report of reports) {
      const tallies = report.tallies.filter(({ vm }) => vm !== to.name);
      to.registry.applyReport({ ...report, tallies }, {
        nowMs,
        sender: from.name,
      });
    }
  }

  /** The first reader writes the statuses; the others learn them from it. */
  #writeStage(): void {
    const registry = this.#vms[0]?.registry;
    const rollout = registry?.rollouts.get(SERVICE);
    if (registry === undefined || rollout === undefined) return;
    const { nowMs } = this.#clock;
    const stage = dueStage(rollout, {
      nowMs,
      otherInFlightCount: registry.otherInFlightCount(rollout) +
        rollout.peerInFlightCount(nowMs),
    });
    if (stage === undefined) return;
    if (isEnded(stage)) this.#stageMs = this.#sinceOrderMs;
    registry.applyStatus({
      service: SERVICE,
      target: TARGET,
      stage,
      orderOffset: rollout.order.offset,
    });
  }

  #requestOf(id: string): ForwardRequest {
    const caller = testProtocol.readRequest({
      method: "POST",
      target: "/desk/one",
      rawHeaders: ["test-id", id],
    });
    if (typeof caller === "string") throw new TypeError(caller);
    return {
      caller,
      route: routeOf({ kind: "non_idempotent", isResumable: false }),
      service: SERVICE,
      workspace: undefined,
      manifestVersion: 1,
      permittedRegions: undefined,
      callerRegion: undefined,
      body: Buffer.alloc(0),
      digest: "digest",
      receivedAtMs: this.#clock.nowMs,
    };
  }

  #workMs(): number {
    const normal = Math.sqrt(-2 * Math.log(1 - this.#random())) *
      Math.cos(2 * Math.PI * this.#random());
    return this.#play.workMs * Math.exp(WORK_SCATTER * normal);
  }

  #pick<Item>(items: readonly Item[]): Item {
    const item = items[Math.floor(this.#random() * items.length)];
    if (item === undefined) throw new RangeError("nothing to pick from");
    return item;
  }
}
