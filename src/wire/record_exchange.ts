/**
 * Passes records of the control stream between peers, so that a VM that is cut
 * from the log but not from its peers still learns. Each membership message
 * carries the sender's position; whoever is behind asks for what follows its
 * own, one bounded batch at a time.
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

/** How far a process has read the control stream. */
export interface RecordFreshness {
  readonly position: Position;
  /** Since it last knew the stream's end, from the log or from a peer. */
  readonly ageMs: number;
}

/** The control stream as this process has read it. */
export interface RecordSource {
  freshness(): RecordFreshness;
  /**
   * Entries after `position`, oldest first, at most `limit`; where these are no
   * longer kept, the parts of a checkpoint, all of them.
   */
  recordsAfter(position: Position, limit: number): readonly RawEntry[];
  /** Takes what a peer passed on, none or more; repeats change nothing. */
  offer(entries: readonly RawEntry[], peer: RecordFreshness): void;
}

/** A source's freshness within the bounds of a message. */
export function boundedFreshnessOf(records: RecordSource): RecordFreshness {
  const { position, ageMs } = records.freshness();
  return { position, ageMs: Math.min(Math.ceil(ageMs), MAX_AGE_MS) };
}

/** What an exchange needs. */
export interface RecordExchangeOptions {
  readonly records: RecordSource;
  readonly logger: Logger;
  readonly query: (
    connection: PeerConnection,
    ask: Query,
    timeoutMs: number,
  ) => Promise<Result<Answer, WireError>>;
}

/** Fetches what this process lacks, from one peer at a time. */
export class RecordExchange {
  readonly #options: RecordExchangeOptions;
  #isFetching = false;

  constructor(options: RecordExchangeOptions) {
    this.#options = options;
  }

  /** A peer has told how far it has read. */
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
    this.#options.logger.warn("a peer's records do not follow on", {
      vm,
      position,
      until,
    });
  }
}
