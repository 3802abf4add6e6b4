/** Creates the clients of the platform and of backend servers from settings. */
import {
  createRatingClient,
  createReportFetch,
  EngineClient,
  type LoadPollerOptions,
  type RatingClient,
  ServerDirectory,
  ServiceClient,
  VmListClient,
} from "../client/mod.ts";
import { processEffects } from "../client/effects.ts";
import { type Drains, type VmSource } from "../client/mod.ts";
import { type ProcessSettings } from "./process_settings.ts";

const RATING_TIMEOUT_MS = 2000;
const RATING_CONCURRENCY = 16;
const CONNECT_TIMEOUT_MS = 1000;
const REPORT_TIMEOUT_MS = 1000;
const MAX_CONNECTIONS_PER_SERVER = 128;
const MAX_SERVICE_BODY_BYTES = 8 * 1024 * 1024;
const MAX_POLLS_PER_PERIOD = 32;
const PRIOR_FIRST_TOKEN_MS = 200;
const PRIOR_SERVICE_MS = 1000;

/** Opens the client of the rating service. */
export function openRating(settings: ProcessSettings): RatingClient {
  return createRatingClient({
    origin: settings.platform.ratingUrl,
    timeoutMs: RATING_TIMEOUT_MS,
    maxConcurrent: RATING_CONCURRENCY,
    clock: processEffects.clock,
  });
}

/** Opens the client of the VM list. */
export function openVmList(settings: ProcessSettings): VmListClient {
  return new VmListClient({
    baseUrl: settings.platform.vmListUrl,
    clock: processEffects.clock,
  });
}

/** Returns the latest VM list as the source of a server directory. */
export function vmSourceOf(list: VmListClient): VmSource {
  return {
    vms: () => list.last()?.vms ?? [],
    ageMs: () => list.last()?.ageMs ?? Infinity,
  };
}

/** Opens the client of the model engines. */
export function openEngines(): EngineClient {
  return new EngineClient({
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    maxConnectionsPerServer: MAX_CONNECTIONS_PER_SERVER,
  });
}

/** Opens the client of the plain services. */
export function openServices(): ServiceClient {
  return new ServiceClient({
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    maxConnectionsPerServer: MAX_CONNECTIONS_PER_SERVER,
    maxBodyBytes: MAX_SERVICE_BODY_BYTES,
  });
}

/** Creates the directory of backend servers of an entry. */
export function openDirectory(
  settings: ProcessSettings,
  options: { readonly source: VmSource; readonly drains: () => Drains },
): ServerDirectory {
  const places = [...settings.places].sort((a, b) => a.delayMs - b.delayMs);
  return new ServerDirectory({
    ...options,
    self: settings.vm,
    places: places.map((item) => item.place),
    clock: processEffects.clock,
    priorFirstTokenMs: PRIOR_FIRST_TOKEN_MS,
    priorServiceMs: PRIOR_SERVICE_MS,
  });
}

/** Returns the options for polling load reports into the directory. */
export function loadPollerOptionsOf(
  settings: ProcessSettings,
  directory: ServerDirectory,
): LoadPollerOptions {
  return {
    directory,
    fetchReport: createReportFetch(REPORT_TIMEOUT_MS),
    sleep: processEffects.sleep,
    periodMs: settings.timing.loadPeriodMs,
    reportAgeMs: settings.timing.loadPeriodMs,
    maxPollsPerPeriod: MAX_POLLS_PER_PERIOD,
  };
}
