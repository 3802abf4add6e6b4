/**
 * Claims whose append had an unknown result and which were therefore never
 * dispatched. If such a claim later appears in the log and holds its key, this
 * VM records the outcome "not run", which frees the key. The set is bounded:
 * the oldest claim is evicted and its key stays claimed, which is safe.
 */
import { type Journal } from "../client/mod.ts";
import { type RecordOf } from "../state/mod.ts";
import { shardKeyOf } from "./claim_shard.ts";
import { createOutcomeRecord } from "./claim_outcome.ts";
import { err } from "neverthrow";
import { notRun } from "../model/mod.ts";
import { contentId } from "./record_id.ts";
import { type RecordOutbox } from "./record_outbox.ts";

const MAX_CLAIMS = 1000;

/** The undispatched claims whose keys this VM frees. */
export class AbandonedClaims {
  readonly #claims = new Map<string, RecordOf<"claim">>();

  /** Number of claims that may still appear in the log. */
  get size(): number {
    return this.#claims.size;
  }

  /** Adds a claim that was never dispatched; evicts the oldest when full. */
  add(claim: RecordOf<"claim">): void {
    this.#claims.set(claim.id, claim);
    if (this.#claims.size <= MAX_CLAIMS) return;
    const oldest = this.#claims.keys().next();
    if (oldest.done !== true) this.#claims.delete(oldest.value);
  }

  /**
   * Offers a "not run" outcome to `outbox` for each claim that now holds its
   * key. Claims that don't fit into the outbox are retried on the next call.
   */
  sweep(journal: Journal, outbox: RecordOutbox): void {
    for (const claim of this.#claims.values()) {
      const shardKey = shardKeyOf(claim);
      const current = journal.requests(shardKey)
        .claimOf(claim.workspace, claim.key);
      if (current?.claim.id !== claim.id) continue;
      const record = notRunRecord(claim);
      if (current.outcome !== undefined || outbox.offer({ record, shardKey })) {
        this.#claims.delete(claim.id);
      }
    }
  }
}

function notRunRecord(claim: RecordOf<"claim">): RecordOf<"outcome"> {
  const refusal = notRun("log_unavailable", { detail: "never dispatched" });
  return createOutcomeRecord(claim, err(refusal), {
    id: contentId("free", claim.id),
    maxBytes: 0,
  });
}
