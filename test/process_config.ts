/** Builds the settings of a VM's processes in a cluster. */
import { type ProcessSettings } from "../src/bin/process_settings.ts";
import { type Site } from "./site.ts";

const REQUEST_SHARDS = 2;
const BILL_SHARDS = 2;
const SESSION_TOKEN_KEY = "session-token-key-of-tests";
const PEER_KEY = "peer-key-of-the-tests-0000000000";

/** The operator token of every cluster. */
export const OPERATOR_TOKEN = "operator-token-of-tests";

/** Settings that a test overrides. */
export interface SettingsOverrides {
  readonly log?: Partial<ProcessSettings["log"]>;
  readonly limits?: Partial<ProcessSettings["limits"]>;
  readonly timing?: Partial<ProcessSettings["timing"]>;
}

/** Inputs for the settings of one VM. */
export interface ProcessConfig {
  readonly site: Site;
  readonly vm: string;
  readonly place: string;
  readonly logAddress: string;
  readonly overrides: SettingsOverrides;
}

/** Returns the settings of one VM's processes. */
export function processSettingsOf(config: ProcessConfig): ProcessSettings {
  const { site, vm, place, overrides } = config;
  const platform = site.platformOf(place, config.logAddress);
  return {
    deployment: site.plan.deployment,
    vm,
    place,
    listen: { host: "127.0.0.1", httpPort: 0, peerPort: 0 },
    platform,
    log: {
      requestShards: REQUEST_SHARDS,
      billShards: BILL_SHARDS,
      appendBudgetPerSecond: 300,
      queueLimit: 10_000,
      appendTimeoutMs: 2000,
      retentionMs: 3_600_000,
      ...overrides.log,
    },
    places: site.plan.places.map((other) => ({
      place: other.place,
      region: other.region,
      delayMs: site.delayMs(place, other.place),
    })),
    access: {
      operatorToken: OPERATOR_TOKEN,
      workspaceTokens: [],
      sessionTokenKey: SESSION_TOKEN_KEY,
      peerKey: PEER_KEY,
    },
    limits: {
      bodyLimitBytes: 1_048_576,
      runningLimit: 512,
      queueLimit: 256,
      keptAnswerCount: 2000,
      keptAnswerBytes: 16_777_216,
      outboxLimit: 2000,
      firstByteTimeoutMs: 2000,
      betweenTokensTimeoutMs: 1000,
      ...overrides.limits,
    },
    timing: {
      probePeriodMs: 200,
      vmListPeriodMs: 300,
      loadPeriodMs: 200,
      entriesMaxAgeMs: 1000,
      controllerPeriodMs: 200,
      ...overrides.timing,
    },
  };
}
