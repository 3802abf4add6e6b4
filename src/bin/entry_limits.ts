/** The bounds of an entry's filters, from its settings. */
import { DEFAULT_SUBSET_LIMITS } from "../decision/mod.ts";
import { DEFAULT_FILTER_LIMITS, type FilterLimits } from "../filter/mod.ts";
import { type ProcessSettings } from "./process_settings.ts";

/** Slots of the known servers that one VM may fill, over its even share. */
const SHARE_HEADROOM = 1.3;
const MIN_RUNNING_LIMIT = 8;

/** The bounds of the filters. */
export function filterLimitsOf(settings: ProcessSettings): FilterLimits {
  const { limits, log } = settings;
  const silence = Object.fromEntries(
    Object.entries(DEFAULT_FILTER_LIMITS.silence).map(([name, bound]) => [
      name,
      {
        firstByteMs: Math.min(bound.firstByteMs, limits.firstByteTimeoutMs),
        betweenTokensMs: Math.min(
          bound.betweenTokensMs,
          limits.betweenTokensTimeoutMs,
        ),
      },
    ]),
  ) as unknown as FilterLimits["silence"];
  return {
    ...DEFAULT_FILTER_LIMITS,
    silence,
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
 * Requests that one VM may run at once: a little over its even share of the
 * slots it knows of, so that requests wait here, where urgent ones pass, and
 * not in the engines' queues. Each known slot is shared by the VMs whose subset
 * holds its server, which in a large site are not all.
 */
export function runningLimitOf(options: {
  readonly slotCount: number;
  readonly vmCount: number;
  readonly bound: number;
}): number {
  const sharerCount = Math.min(
    options.vmCount,
    DEFAULT_SUBSET_LIMITS.coverageCount,
  );
  const share = options.slotCount / Math.max(1, sharerCount);
  const wanted = Math.ceil(SHARE_HEADROOM * share);
  return Math.min(options.bound, Math.max(MIN_RUNNING_LIMIT, wanted));
}
