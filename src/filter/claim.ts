/**
 * Runs a request with an idempotency key at most once. A claim is appended and
 * confirmed in log order before dispatch, and the first claim of a key wins. A
 * claimed key is never dispatched again, neither by another VM nor by this one
 * after a pause. An outcome with the result "not run" frees the key.
 */
import { err, type Result } from "neverthrow";
import {
  type CallerRequest,
  mayHaveRun,
  type Metrics,
  notRun,
  type Refusal,
} from "../model/mod.ts";
import { type Journal, type JournalError } from "../client/mod.ts";
import { type ClaimState, type RecordOf } from "../state/mod.ts";
import { type AbandonedClaims } from "./abandoned_claims.ts";
import { shardKeyOf } from "./claim_shard.ts";
import { type Filter, type Outcome } from "./chain.ts";
import { type RequestContext } from "./context.ts";
import { createOutcomeRecord, replayOutcome } from "./claim_outcome.ts";
import { hashBody } from "./record_id.ts";
import { type RecordOutbox } from "./record_outbox.ts";

export interface ClaimOptions {
  /** Name of this VM. */
  readonly self: string;
  readonly journal: Journal;
  readonly makeId: () => string;
  readonly outbox: RecordOutbox;
  readonly abandoned: AbandonedClaims;
  readonly claimTimeoutMs: number;
  readonly outcomeTimeoutMs: number;
  readonly maxOutcomeBytes: number;
  readonly metrics: Metrics;
}

const LOG_RETRY_MS = 2000;

/**
 * Creates the filter that claims the key of a request before it runs, and
 * answers a retry with the recorded outcome.
 */
export function createClaimFilter(options: ClaimOptions): Filter {
  return async (context, next) => {
    const { request } = context;
    const key = request.idempotencyKey;
    if (key === undefined) return next(context);
    const claim = claimOf(request, key, options);
    const shardKey = shardKeyOf(claim);
    const state = options.journal.requests(shardKey);
    if (!state.isInWindow(claim.workspace, key)) return err(expiredRefusal());
    const existing = state.claimOf(claim.workspace, key);
    if (existing !== undefined && existing.outcome?.result !== "not_run") {
      return replayFrom(existing, claim, context);
    }
    const appended = await options.journal.append(claim, shardKey, {
      timeoutMs: Math.min(options.claimTimeoutMs, context.lifetime.leftMs()),
    });
    if (appended.isErr()) return err(unconfirmed(appended, claim, options));
    const winner = options.journal.requests(shardKey)
      .claimOf(claim.workspace, key);
    if (winner === undefined) return err(expiredRefusal());
    if (winner.claim.id !== claim.id) return replayFrom(winner, claim, context);
    const outcome = await next(context);
    await recordOutcome(claim, outcome, options);
    return outcome;
  };
}

function claimOf(
  request: CallerRequest,
  key: string,
  options: ClaimOptions,
): RecordOf<"claim"> {
  return {
    id: options.makeId(),
    kind: "claim",
    workspace: request.workspace,
    key,
    requestId: request.requestId,
    bodyHash: bodyHashOf(request),
    vm: options.self,
  };
}

function bodyHashOf(request: CallerRequest): string {
  if (request.kind === "service") {
    const { service, method, target, body } = request;
    return hashBody(service, method, target, body);
  }
  const { requestClass, messages, maxTokens } = request;
  return hashBody(JSON.stringify({ requestClass, messages, maxTokens }));
}

function replayFrom(
  existing: ClaimState,
  claim: RecordOf<"claim">,
  context: RequestContext,
): Promise<Outcome> {
  if (existing.claim.bodyHash !== claim.bodyHash) {
    const refusal = notRun("key_reused", {
      detail: "the idempotency key was already used with a different body",
    });
    return Promise.resolve(err(refusal));
  }
  return replayOutcome(existing, context);
}

function unconfirmed(
  appended: Result<unknown, JournalError>,
  claim: RecordOf<"claim">,
  options: ClaimOptions,
): Refusal {
  const fault = appended.isErr() ? appended.error.fault : "unknown";
  options.metrics.count("claim.unconfirmed", 1, { fault });
  if (fault === "unknown") options.abandoned.add(claim);
  return notRun("log_unavailable", {
    detail:
      "the claim of the idempotency key could not be confirmed in the log",
    retryAfterMs: LOG_RETRY_MS,
  });
}

function expiredRefusal(): Refusal {
  return mayHaveRun("key_expired", {
    detail: "the idempotency key is older than the retention window of keys",
  });
}

async function recordOutcome(
  claim: RecordOf<"claim">,
  outcome: Outcome,
  options: ClaimOptions,
): Promise<void> {
  const record = createOutcomeRecord(claim, outcome, {
    id: options.makeId(),
    maxBytes: options.maxOutcomeBytes,
  });
  const shardKey = shardKeyOf(claim);
  const appended = await options.journal.append(record, shardKey, {
    timeoutMs: options.outcomeTimeoutMs,
  });
  if (appended.isOk()) return;
  const isKept = options.outbox.offer({ record, shardKey });
  options.metrics.count("claim.outcome_late", 1, { isKept });
}
