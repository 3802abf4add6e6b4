/** The dependencies of request forwarding for tests, with a clock to set. */
import {
  applyRoster,
  createMembership,
  EMPTY_ROSTER,
  type LimitedVms,
} from "../../decision/mod.ts";
import { type BackendServer, silentLogger } from "../../model/mod.ts";
import { AdmissionGate } from "../admission/admission_gate.ts";
import { AnswerMemory } from "../callers/answer_memory.ts";
import { VmMemory } from "../callers/vm_memory.ts";
import { BackendFleet } from "../servers/backend_fleet.ts";
import { Evacuations } from "../servers/evacuations.ts";
import { ColdServers } from "../servers/cold_servers.ts";
import { type ForwardContext } from "./forward_context.ts";
import { testProtocol } from "../gateway_fixture.ts";
import { GatewayMetrics } from "../telemetry/gateway_metrics.ts";
import { PrefillRates } from "../servers/prefill_rates.ts";
import { PromptRates } from "../servers/prompt_rates.ts";
import { PromptQuarantine } from "../prompts/prompt_quarantine.ts";
import { ReachWatch } from "../servers/reach_watch.ts";
import { RequestRegions } from "../servers/request_regions.ts";
import { RetryBudget } from "./retry_budget.ts";
import { ServerBrittleness } from "../servers/server_brittleness.ts";
import { ServerLimits } from "../servers/server_limits.ts";
import { ServerStatements } from "../servers/server_statements.ts";
import { SlowStarts } from "../servers/slow_starts.ts";
import { VmRelays } from "./vm_relays.ts";

const SELF = { vm: "vm-1", place: "khomas-a", address: "", peerAddress: "" };

/** A context, and the clock that it uses. */
export interface TestContext {
  readonly context: ForwardContext;
  readonly clock: { nowMs: number };
}

/** Creates the context of a VM that knows the servers. */
export function forwardContextOf(
  servers: readonly BackendServer[],
  clock: { nowMs: number } = { nowMs: 10_000 },
): TestContext {
  const now = (): number => clock.nowMs;
  const fleet = new BackendFleet({ clock: now });
  const records = servers.map((server) => ({
    id: server.id,
    server,
    offset: 1,
  }));
  const roster = applyRoster(EMPTY_ROSTER, { kind: "changed", records }, 0);
  fleet.update(roster);
  const vms = (): LimitedVms => ({ self: SELF, others: [] });
  const fleetBound = { ratio: 1, slackCount: 10, windowMs: 10_000 };
  const evacuations = new Evacuations({
    places: ["khomas-a"],
    clock: now,
    logger: silentLogger,
  });
  const context: ForwardContext = {
    protocol: testProtocol,
    fleet,
    admission: new AdmissionGate({ clock: now, random: () => 0.5 }),
    regions: new RequestRegions({
      place: "khomas-a",
      places: [{ place: "khomas-a", region: "khomas" }],
      routes: () => undefined,
      logger: silentLogger,
    }),
    brittleness: new ServerBrittleness({
      self: { vm: "vm-1" },
      otherVms: () => [],
      fleet,
      clock: now,
      logger: silentLogger,
    }),
    limits: new ServerLimits({
      vms,
      serverOf: (id) => fleet.serverOf(id),
      clock: now,
      logger: silentLogger,
    }),
    cold: new ColdServers({
      vms,
      traitsOf: () => undefined,
      bound: { ratio: 1.5, slackCount: 5 },
      clock: now,
      logger: silentLogger,
    }),
    statements: new ServerStatements({ clock: now, logger: silentLogger }),
    slowStarts: new SlowStarts({
      self: { vm: "vm-1" },
      otherVms: () => [],
      fleet,
      evacuationEndedMsAgo: (place) => evacuations.endedMsAgo(place),
      isBrittle: () => false,
      clock: now,
      logger: silentLogger,
    }),
    evacuations,
    prompts: new PromptQuarantine({
      isTrialVm: () => true,
      clock: now,
      logger: silentLogger,
    }),
    reach: new ReachWatch({
      servers: () => servers,
      connects: () => Promise.resolve(false),
      sleep: () => Promise.resolve(),
      random: () => 0.5,
      clock: now,
      logger: silentLogger,
    }),
    relays: new VmRelays({
      place: "khomas-a",
      places: [],
      membership: () => createMembership(SELF, { nowMs: now() }),
      clock: now,
      random: () => 0.5,
    }),
    budget: new RetryBudget({ fleetBound, clock: now, vmCount: () => 1 }),
    versions: {
      acceptorOf: () => ({ accepts: () => true, reason: "settled" }),
      loadTrialOf: () => undefined,
      record: () => {},
      recordPace: () => {},
      adjustInFlight: () => {},
    },
    answerMemory: new AnswerMemory(
      new VmMemory({ memoryBytes: 64 * 1024 * 1024 }),
    ),
    engineOf: () => undefined,
    prefill: new PrefillRates(),
    promptRates: new PromptRates({ clock: now }),
    vmCount: () => 1,
    reportBusy: () => {},
    distanceMs: () => 0,
    clock: now,
    random: () => 0.5,
    logger: silentLogger,
    metrics: new GatewayMetrics(),
  };
  context.slowStarts.observe(roster.entries);
  return { context, clock };
}
