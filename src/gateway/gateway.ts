/**
 * The gateway of one VM. Connects the server for callers, the state read from
 * the platform's store, the peer node and the forwarding of requests.
 * Everything that differs between platforms is passed in.
 */
import {
  aliveCheck,
  type MembershipState,
  presentMembers,
  type RouteTable,
} from "../decision/mod.ts";
import { type ServiceTraits, splitAddress } from "../model/mod.ts";
import { type BoundCause, type PeerNode } from "../wire/mod.ts";
import { AdmissionGate } from "./admission/admission_gate.ts";
import { advertisedAddresses } from "./callers/advertised_addresses.ts";
import { AnswerMemory } from "./callers/answer_memory.ts";
import { BackendFleet } from "./servers/backend_fleet.ts";
import { CallerServer } from "./callers/caller_server.ts";
import {
  callerConnectionLimit,
  managementConnectionLimit,
} from "./callers/connection_limits.ts";
import { logLoss } from "./callers/connection_loss.ts";
import { VmMemory } from "./callers/vm_memory.ts";
import { type EntryCaller, EntryRegions } from "./callers/entry_regions.ts";
import { type ForwardContext } from "./forwarding/forward_context.ts";
import { GatewayMetrics } from "./telemetry/gateway_metrics.ts";
import { type GatewayOptions } from "./gateway_options.ts";
import {
  ALLOWED_SILENCE_MS,
  createDistanceLookup,
  createGatewayPeers,
  createServerGuards,
  createServerReach,
  createVmDivision,
  type ServerGuards,
  type ServerReachParts,
} from "./peers/gateway_peers.ts";
import { GatewayShutdown, STOP_POLL_MS } from "./gateway_shutdown.ts";
import { GatewayState } from "./gateway_state.ts";
import { OpenRequests } from "./callers/open_requests.ts";
import { LeaseExchange } from "./peers/lease_exchange.ts";
import { PeerExchange } from "./peers/peer_exchange.ts";
import { StoreRendezvous } from "./peers/store_rendezvous.ts";
import { PrefillRates } from "./servers/prefill_rates.ts";
import { PromptRates } from "./servers/prompt_rates.ts";
import { LateReading } from "./late_reading.ts";
import { processorMs, watchDelays } from "./telemetry/process_delays.ts";
import { watchLoad } from "./telemetry/process_load.ts";
import { RequestIntake } from "./callers/request_intake.ts";
import { afterReading } from "./read_timeout.ts";
import { RetryBudget } from "./forwarding/retry_budget.ts";
import { RolloutRegistry } from "./rollout/rollout_registry.ts";
import { RolloutStatusWriter } from "./rollout/rollout_status_writer.ts";
import { RequestRegions } from "./servers/request_regions.ts";
import { StoreFeed } from "./store/store_feed.ts";

const TICK_MS = 200;
/** Turns of the event loop that accept a connection and read its request. */
const STOP_READ_TURNS = 2;
/** Delays the histogram library: loading it slows the first requests. */
const METRICS_LOAD_DELAY_MS = 5000;

/** The gateway of one VM. */
export class Gateway {
  readonly #options: GatewayOptions;
  readonly #metrics = new GatewayMetrics();
  readonly #fleet: BackendFleet;
  readonly #admission: AdmissionGate;
  readonly #guards: ServerGuards;
  readonly #reach: ServerReachParts;
  readonly #state: GatewayState;
  readonly #regions: RequestRegions;
  readonly #entryRegions: EntryRegions;
  readonly #rollouts: RolloutRegistry;
  readonly #statusWriter: RolloutStatusWriter;
  readonly #feed: StoreFeed;
  readonly #leases: LeaseExchange;
  readonly #exchange: PeerExchange;
  readonly #memory: VmMemory;
  readonly #callers: CallerServer;
  readonly #rendezvous: StoreRendezvous | undefined;
  readonly #peers: PeerNode;
  readonly #context: ForwardContext;
  readonly #openRequests = new OpenRequests();
  readonly #lateReading: LateReading;
  readonly #intake: RequestIntake;
  readonly #shutdown: GatewayShutdown;
  readonly #stopController = new AbortController();
  #callerAddress: string;
  #peerAddress: string;
  #stopped: Promise<void> | undefined;

  constructor(options: GatewayOptions) {
    this.#options = options;
    const { clock, random, logger, protocol, settings } = options;
    this.#callerAddress = settings.callerAddress;
    this.#peerAddress = settings.peerAddress;
    this.#lateReading = new LateReading({ clock });
    this.#fleet = new BackendFleet({ clock });
    this.#admission = new AdmissionGate({ clock, random });
    const membership = (): MembershipState => this.#peers.membership();
    const traitsOf = (service: string): ServiceTraits | undefined =>
      this.#state.routes?.traitsOf(service);
    const vms = createVmDivision(options, membership);
    const vmCount = (): number | undefined => {
      const { others } = vms();
      return others === undefined ? undefined : 1 + others.length;
    };
    const parts = { fleet: this.#fleet, membership, vms, traitsOf };
    this.#guards = createServerGuards(options, parts);
    this.#reach = createServerReach(options, parts);
    this.#state = new GatewayState({ fleet: this.#fleet, clock, logger });
    const routes = (): RouteTable | undefined => this.#state.routes;
    this.#regions = new RequestRegions({ ...settings, routes, logger });
    this.#entryRegions = new EntryRegions({
      regions: this.#regions,
      routes,
      logger,
    });
    this.#rollouts = new RolloutRegistry({
      fleet: this.#fleet,
      ...settings,
      vmCount,
      isNamed: (service) => routes()?.services.has(service) !== false,
      ordersAgeMs: () => this.#feed.replicas.operators.ageMs,
      isEvacuated: (place) => this.#guards.evacuations.isEvacuated(place),
      clock,
      logger,
    });
    this.#feed = new StoreFeed({
      gateway: options,
      state: this.#state,
      registry: this.#rollouts,
      evacuations: this.#guards.evacuations,
      metrics: this.#metrics,
      isStoreReader: () => this.#exchange.rank() !== undefined,
      onApplied: () => {
        this.#guards.cold.recordEntries(this.#fleet.servers);
        this.#announceReady();
      },
    });
    const { limits: limit, cold } = this.#guards;
    this.#leases = new LeaseExchange({
      ...options,
      node: () => this.#peers,
      sides: { limit, cold },
    });
    this.#exchange = new PeerExchange({
      ...options,
      vm: settings.vm,
      node: () => this.#peers,
      replicas: this.#feed.replicas,
      registry: this.#rollouts,
      fleet: this.#fleet,
      leases: this.#leases,
      admission: this.#admission,
      ...this.#guards,
    });
    this.#statusWriter = new RolloutStatusWriter({
      ...options,
      registry: this.#rollouts,
      topic: options.statusTopic,
      rank: () => this.#exchange.rank(),
    });
    const { rendezvous } = options;
    this.#rendezvous = rendezvous && new StoreRendezvous({
      ...options,
      vm: settings.vm,
      topic: rendezvous,
      peerAddress: () => this.#peerAddress,
      isAlone: () => presentMembers(membership()).length === 0,
    });
    this.#peers = createGatewayPeers(options, {
      exchange: this.#exchange,
      moreSeeds: () => this.#rendezvous?.addresses ?? [],
    });
    this.#memory = new VmMemory(settings);
    this.#callers = this.#createCallerServer();
    this.#shutdown = new GatewayShutdown({
      ...options,
      announce: (status) => this.#peers.announce(status),
      openCount: () => this.#callers.openCount,
    });
    this.#context = {
      protocol,
      fleet: this.#fleet,
      admission: this.#admission,
      regions: this.#regions,
      ...this.#guards,
      ...this.#reach,
      budget: new RetryBudget({
        fleetBound: settings.retryBound,
        clock,
        vmCount,
      }),
      versions: this.#rollouts,
      answerMemory: new AnswerMemory(this.#memory),
      engineOf: (service) => this.#state.engineOf(service),
      prefill: new PrefillRates(),
      promptRates: new PromptRates({ clock }),
      vmCount,
      reportBusy: (id, forMs) => this.#exchange.reportBusy(id, forMs),
      isReadingLate: () => this.#lateReading.isLate,
      distanceMs: createDistanceLookup(settings),
      clock,
      random,
      logger,
      metrics: this.#metrics,
    };
    this.#intake = new RequestIntake({
      context: this.#context,
      state: this.#state,
      openRequests: this.#openRequests,
      isAccepting: () => this.#shutdown.isAccepting,
      manifestAgeMs: () => this.#feed.replicas.operators.ageMs,
    });
    this.#state.onManifest = (manifest) => {
      this.#callers.applyLimits();
      this.#regions.logFaults(manifest);
    };
  }

  /** How long callers may cache the addresses of entry VMs. */
  get entryMaxAgeMs(): number {
    return this.#options.settings.entryMaxAgeMs;
  }

  /** The address for callers; after `start`, with the port in use. */
  get callerAddress(): string {
    return this.#callerAddress;
  }

  /** The address for other VMs; after `start`, with the port in use. */
  get peerAddress(): string {
    return this.#peerAddress;
  }

  /**
   * Listens, joins the other VMs and starts to follow the store. Port 0 in the
   * settings stands for any free port.
   */
  async start(): Promise<void> {
    const { logger, settings } = this.#options;
    const { host } = splitAddress(settings.callerAddress);
    this.#callerAddress = `${host}:${await this.#callers.listen()}`;
    const joined = await this.#peers.start();
    if (joined.isOk()) this.#peerAddress = joined.value;
    else {
      logger.error("peer node failed to start", {
        reason: joined.error.message,
      });
    }
    const { signal } = this.#stopController;
    this.#feed.run(signal);
    void this.#exchange.run(signal);
    void this.#rendezvous?.run(signal);
    void this.#leases.run(signal);
    void this.#reach.reach.run(signal);
    void this.#tick(signal);
    void watchLoad({
      ...this.#options,
      coreShare: settings.coreShare,
      metrics: this.#metrics,
      onLoad: (loadShare) => this.#peers.setLoad(loadShare),
    }, signal);
    void watchDelays({
      ...this.#options,
      silenceMs: ALLOWED_SILENCE_MS,
      processorMs,
      onTurn: () => this.#lateReading.recordTurn(),
      metrics: this.#metrics,
    }, signal);
    void this.#loadMetrics(signal);
    logger.info("started", { callers: this.#callerAddress });
  }

  /** Whether the VM's address may be advertised to new callers. */
  isReady(): boolean {
    return this.#state.isComplete && this.#shutdown.isServing;
  }

  /** Returns addresses for a caller, those of its data centre first. */
  entryAddresses(caller: EntryCaller): string[] {
    const addresses = advertisedAddresses(this.#peers.membership(), {
      ...this.#options,
      ...this.#entryRegions.choiceFor(caller),
      place: caller.place,
      metrics: this.#metrics,
    });
    const isLast = addresses.length === 0 && this.isReady();
    return isLast ? [this.#callerAddress] : addresses;
  }

  /** Returns all metrics as text, one per line. */
  metricsText(): string {
    const { rss } = process.memoryUsage();
    this.#metrics.set("memory_bytes", rss);
    this.#metrics.set("open_requests", this.#callers.openCount);
    const { operators, servers } = this.#feed.replicas;
    this.#metrics.set("manifest_age_ms", Math.round(operators.ageMs));
    this.#metrics.set("servers_age_ms", Math.round(servers.ageMs));
    const { evacuatedCount } = this.#guards.evacuations;
    this.#metrics.set("evacuated_places", evacuatedCount);
    const state = this.#peers.membership();
    const isKnownAlive = aliveCheck(state, this.#options.clock());
    const aliveCount = state.members.count((member) => isKnownAlive(member));
    this.#metrics.set("vms_known_alive", aliveCount);
    this.#metrics.set("cold_servers", this.#guards.cold.coldCount);
    const { activeCount } = this.#guards.slowStarts;
    this.#metrics.set("slow_start_servers", activeCount);
    return this.#metrics.text();
  }

  /**
   * Stops gracefully: first no new callers, then no new requests. Resolves when
   * the open requests are answered or the grace period is over. Further calls
   * wait for the same end.
   */
  stop(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  /** Answers all open requests at once, as the process is about to end. */
  endOpenRequests(): void {
    this.#openRequests.endAll();
  }

  /** Logs and counts a connection that could not be accepted. */
  handleAcceptError(
    from: "caller" | "management",
    { message }: Error,
  ): void {
    this.#metrics.count("accept_errors", { from });
    const { logger } = this.#options;
    logger.warn("connection not accepted", { from, reason: message });
  }

  /** Counts a connection that was closed for a bound. */
  countBound(from: "caller" | "management", cause: BoundCause): void {
    this.#metrics.count("connections_bounded", { from, cause });
  }

  /** How many connections each server beside the one for callers may keep. */
  get managementConnectionCount(): number {
    return managementConnectionLimit(this.#options.settings);
  }

  async #stop(): Promise<void> {
    const { sleep, logger } = this.#options;
    const shutdownDone = this.#shutdown.run();
    this.#callers.beginClosing();
    await shutdownDone;
    // The VM may have been held up: accepts, then reads what has arrived.
    for (let turn = 0; turn < STOP_READ_TURNS; turn++) {
      await new Promise<void>((resolve) => afterReading(resolve));
    }
    this.#stopController.abort();
    logger.info("stopped", { openCount: this.#callers.openCount });
    this.#callers.refuseRequests();
    this.#openRequests.endAll();
    await sleep(STOP_POLL_MS);
    await this.#callers.close();
    await this.#peers.close();
  }

  #createCallerServer(): CallerServer {
    const { settings, clock, protocol } = this.#options;
    return new CallerServer({
      ...splitAddress(settings.callerAddress),
      memory: this.#memory,
      maxConnectionCount: callerConnectionLimit(settings),
      clock,
      limits: () => this.#state.routes?.manifest.limits,
      writeRefusal: protocol.writeRefusal,
      onHead: (received) => this.#intake.receive(received),
      onAcceptError: (error) => this.handleAcceptError("caller", error),
      onBound: (cause) => this.countBound("caller", cause),
      onLoss: (loss) => logLoss(this.#context, loss),
    });
  }

  #announceReady(): void {
    if (!this.#state.isComplete) return;
    // Without an address a VM is neither advertised nor sent requests on to.
    const isWithoutServers = this.#reach.reach.isLastingCut;
    const address = isWithoutServers ? "" : this.#callerAddress;
    if (this.#peers.membership().self.address === address) return;
    this.#peers.setAddress(address);
    this.#options.logger.info(isWithoutServers ? "not advertised" : "ready");
  }

  async #loadMetrics(signal: AbortSignal): Promise<void> {
    await this.#options.sleep(METRICS_LOAD_DELAY_MS, signal);
    if (!signal.aborted) await this.#metrics.load();
  }

  async #tick(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#state.applyRosterEvent({ kind: "tick" });
      const isRegistered = (id: string): boolean =>
        this.#state.roster.entries.has(id);
      this.#guards.limits.retain(isRegistered);
      this.#guards.cold.retain(isRegistered);
      this.#guards.brittleness.retain(isRegistered);
      this.#guards.slowStarts.observe(this.#state.roster.entries);
      this.#rollouts.evaluate();
      void this.#statusWriter.writeDue();
      this.#announceReady();
      await this.#options.sleep(TICK_MS, signal);
    }
  }
}
