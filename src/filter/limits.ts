/** Limits and timeouts of an entry's filters. */
import {
  type AdmissionLimits,
  DEFAULT_ADMISSION_LIMITS,
  DEFAULT_RETRY_LIMITS,
  type RetryBudgetLimits,
} from "../decision/mod.ts";
import { type RequestClass } from "../model/mod.ts";

/**
 * Timeouts of one request class for an engine that sends nothing: until the
 * first byte, and between two tokens.
 */
export interface SilenceTimeouts {
  readonly firstByteMs: number;
  readonly betweenTokensMs: number;
}

/** Limits of the filters of one entry. */
export interface FilterLimits {
  readonly admission: AdmissionLimits;
  readonly retry: RetryBudgetLimits;
  readonly silence: Readonly<Record<RequestClass, SilenceTimeouts>>;
  readonly maxAttempts: number;
  readonly initialRetryDelayMs: number;
  readonly maxRetryDelayMs: number;
  /** Timeout for the confirmation of a claim or pin in the log. */
  readonly claimTimeoutMs: number;
  /** Timeout for the confirmation of a bill or outcome in the log. */
  readonly billTimeoutMs: number;
  readonly maxBodyBytes: number;
  readonly maxMessages: number;
  readonly maxTokens: number;
  /**
   * Capacity of the bill outbox: running requests plus unconfirmed bills. The
   * outbox of pins and outcomes has the same capacity.
   */
  readonly maxOutboxRecords: number;
  /** Largest answer body stored in the outcome of an idempotency key. */
  readonly maxOutcomeBytes: number;
  readonly maxRetainedAnswers: number;
  readonly maxRetainedBytes: number;
  readonly outboxRetryMs: number;
}

/** Limits for a small entry VM. */
export const DEFAULT_FILTER_LIMITS: FilterLimits = {
  admission: DEFAULT_ADMISSION_LIMITS,
  retry: DEFAULT_RETRY_LIMITS,
  silence: {
    lookup: { firstByteMs: 1500, betweenTokensMs: 1000 },
    tagging: { firstByteMs: 5000, betweenTokensMs: 2000 },
    drafting: { firstByteMs: 10_000, betweenTokensMs: 3000 },
    review: { firstByteMs: 30_000, betweenTokensMs: 5000 },
  },
  maxAttempts: 4,
  initialRetryDelayMs: 20,
  maxRetryDelayMs: 1000,
  claimTimeoutMs: 3000,
  billTimeoutMs: 3000,
  maxBodyBytes: 1_048_576,
  maxMessages: 512,
  maxTokens: 32_768,
  maxOutboxRecords: 4096,
  maxOutcomeBytes: 65_536,
  maxRetainedAnswers: 512,
  maxRetainedBytes: 16_777_216,
  outboxRetryMs: 500,
};
