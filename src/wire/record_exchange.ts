/**
 * Exchanges records of the control stream between peers, so that a VM that
 * cannot reach the log but can reach its peers still receives them. Each
 * membership message contains the sender's position; a process that is behind
 * requests the entries after its own position, one bounded batch at a time.
 */
import { type Result } from "neverthrow";
import { type Logger } from "../model/mod.ts";
import { type Position, type RawEntry, RECORD_FORMAT } from "../state/mod.ts";
import { type PeerConnection } from "./connection.ts";
import { type WireError } from "./error.ts";
import {
  type Answer,
  MAX_AGE_MS,
  MAX_ENTRIES_PER_ANSWER,
  type Query,
} from "./message.ts";

const ANSWER_TIMEOUT_MS = 3000;

/** The position and age of a process's copy of the control stream. */
export interface RecordFreshness {
  readonly position: Position;
  /** Time since the log or a peer last confirmed the copy to be complete. */
  readonly ageMs: number;
}

/** This process's copy of the control stream. */
export interface RecordSource {
  freshness(): RecordFreshness;
  /**
   * Returns entries after `position`, oldest first, at most `limit`; if these
   * are no longer stored, all parts of a checkpoint.
   */
  recordsAfter(position: Position, limit: number): readonly RawEntry[];
  /**
   * Adds entries from a peer, if any, and the peer's freshness; duplicate
   * entries have no effect.
   */
  offer(entries: readonly RawEntry[], peer: RecordFreshness): void;
}

/** A source's freshness, with its age limited to a message's maximum. */
export function boundedFreshnessOf(records: RecordSource): RecordFreshness {
  const { position, ageMs } = records.freshness();
  return { position, ageMs: Math.min(Math.ceil(ageMs), MAX_AGE_MS) };
}

/** Options of a record exchange. */
export interface RecordExchangeOptions {
  readonly records: RecordSource;
  readonly logger: Logger;
  readonly query: (
    connection: PeerConnection,
    query: Query,
    timeoutMs: number,
  ) => Promise<Result<Answer, WireError>>;
}

/** Fetches missing records, from one peer at a time. */
export class RecordExchange {
  readonly #options: RecordExchangeOptions;
  #isFetching = false;

  constructor(options: RecordExchangeOptions) {
    this.#options = options;
  }

  /** Handles a peer's freshness; fetches records if the peer is ahead. */
  receiveFreshness(connection: PeerConnection, peer: RecordFreshness): void {
    const { records } = this.#options;
    if (connection.peer.recordFormat !== RECORD_FORMAT) return;
    records.offer([], peer);
    if (this.#isFetching || peer.position <= records.freshness().position) {
      return;
    }
    this.#isFetching = true;
    void this.#fetch(connection, peer.position).finally(() => {
      this.#isFetching = false;
    });
  }

  async #fetch(connection: PeerConnection, until: Position): Promise<void> {
    const { records } = this.#options;
    let { position } = records.freshness();
    while (position < until) {
      const answer = await this.#options.query(connection, {
        kind: "entries_after",
        position,
        limit: MAX_ENTRIES_PER_ANSWER,
      }, ANSWER_TIMEOUT_MS);
      if (answer.isErr() || answer.value.kind !== "entries") return;
      records.offer(answer.value.entries, answer.value);
      const next = records.freshness().position;
      if (next <= position) return this.#warn(connection, position, until);
      position = next;
    }
  }

  #warn(connection: PeerConnection, position: Position, until: Position): void {
    const { vm } = connection.peer;
    this.#options.logger.warn("peer records did not advance the position", {
      vm,
      position,
      until,
    });
  }
}
