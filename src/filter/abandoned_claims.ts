/**
 * Claims whose append ended without a known result and which were therefore
 * never dispatched. Should such a claim turn up in the log and hold its key,
 * its VM says "not run", which frees the key. Bounded; the oldest is forgotten,
 * and its key then stays held, which is safe.
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

/** Claims to free once they turn up. */
export class AbandonedClaims {
  readonly #claims = new Map<string, RecordOf<"claim">>();

  /** Claims that may still turn up. */
  get size(): number {
    return this.#claims.size;
  }

  /** Remembers a claim that was never dispatched. */
  add(claim: RecordOf<"claim">): void {
    this.#claims.set(claim.id, claim);
    if (this.#claims.size <= MAX_CLAIMS) return;
    const oldest = this.#claims.keys().next();
    if (oldest.done !== true) this.#claims.delete(oldest.value);
  }

  /** Puts the outcome of each claim that holds its key now. */
  sweep(journal: Journal, outbox: RecordOutbox): void {
    for (const claim of this.#claims.values()) {
      const shardKey = shardKeyOf(claim);
      const held = journal.requests(shardKey)
        .claimOf(claim.workspace, claim.key);
      if (held?.claim.id !== claim.id) continue;
      const record = freeingRecord(claim);
      if (held.outcome !== undefined || outbox.offer({ record, shardKey })) {
        this.#claims.delete(claim.id);
      }
    }
  }
}

function freeingRecord(claim: RecordOf<"claim">): RecordOf<"outcome"> {
  const refusal = notRun("log_unavailable", { detail: "never dispatched" });
  return createOutcomeRecord(claim, err(refusal), {
    id: contentId("free", claim.id),
    maxBytes: 0,
  });
}
