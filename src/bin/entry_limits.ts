/** Derives the limits of an entry's filters from its settings. */
import { DEFAULT_SUBSET_LIMITS } from "../decision/mod.ts";
import { DEFAULT_FILTER_LIMITS, type FilterLimits } from "../filter/mod.ts";
import { type ProcessSettings } from "./process_settings.ts";

/** Ratio of a VM's running limit to its even share of the servers' slots. */
const SHARE_HEADROOM = 1.3;
const MIN_RUNNING_LIMIT = 8;

/** Returns the filter limits: the defaults, adjusted by the settings. */
export function filterLimitsOf(settings: ProcessSettings): FilterLimits {
  const { limits, log } = settings;
  const silenceLimits = Object.fromEntries(
    Object.entries(DEFAULT_FILTER_LIMITS.silence).map(([name, limit]) => [
      name,
      {
        firstByteMs: Math.min(limit.firstByteMs, limits.firstByteTimeoutMs),
        betweenTokensMs: Math.min(
          limit.betweenTokensMs,
          limits.betweenTokensTimeoutMs,
        ),
      },
    ]),
  ) as unknown as FilterLimits["silence"];
  return {
    ...DEFAULT_FILTER_LIMITS,
    silence: silenceLimits,
    admission: {
      ...DEFAULT_FILTER_LIMITS.admission,
      queueLimit: limits.queueLimit,
    },
    claimTimeoutMs: log.appendTimeoutMs,
    billTimeoutMs: log.appendTimeoutMs,
    maxBodyBytes: limits.bodyLimitBytes,
    maxOutboxRecords: limits.outboxLimit,
    maxRetainedAnswers: limits.keptAnswerCount,
    maxRetainedBytes: limits.keptAnswerBytes,
  };
}

/**
 * Returns how many requests a VM may run at once: slightly more than its even
 * share of the slots in its subset of servers. Further requests wait in the VM,
 * where urgent ones can overtake them, and not in the engines' queues. A slot is
 * shared by the VMs whose subset contains its server, which in a large
 * deployment is not every VM.
 */
export function runningLimitOf(options: {
  readonly slotCount: number;
  readonly vmCount: number;
  readonly bound: number;
}): number {
  const sharingVmCount = Math.min(
    options.vmCount,
    DEFAULT_SUBSET_LIMITS.coverageCount,
  );
  const share = options.slotCount / Math.max(1, sharingVmCount);
  const desiredLimit = Math.ceil(SHARE_HEADROOM * share);
  return Math.min(options.bound, Math.max(MIN_RUNNING_LIMIT, desiredLimit));
}
