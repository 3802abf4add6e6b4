/**
 * Queries sent to peers that are not answered yet. Their number is bounded and
 * each has a timeout. A connection on which a query times out is discarded,
 * since a slow peer cannot be distinguished from a broken connection.
 */
import { err, ok, type Result } from "neverthrow";
import { type Sleep } from "../model/mod.ts";
import { type PeerConnection } from "./connection.ts";
import { WireError } from "./error.ts";
import { type Answer, type Query } from "./message.ts";

/** The maximum number of pending queries of one process. */
export const MAX_PENDING_QUERIES = 1024;

interface PendingQuery {
  readonly connection: PeerConnection;
  readonly settle: (answer: Result<Answer, WireError>) => void;
}

/** The pending queries of one process. */
export class PendingQueries {
  readonly #sleep: Sleep;
  readonly #pending = new Map<number, PendingQuery>();
  #nextId = 1;

  constructor(options: { readonly sleep: Sleep }) {
    this.#sleep = options.sleep;
  }

  /** Sends a query over a connection and waits for its answer. */
  async query(
    connection: PeerConnection,
    query: Query,
    timeoutMs: number,
  ): Promise<Result<Answer, WireError>> {
    if (this.#pending.size >= MAX_PENDING_QUERIES) {
      return err(
        new WireError(
          "queue_full",
          `${MAX_PENDING_QUERIES} queries are pending`,
        ),
      );
    }
    const id = this.#nextId;
    this.#nextId += 1;
    const sent = connection.send({ kind: "ask", id, ask: query });
    if (sent.isErr()) return err(sent.error);
    const timer = new AbortController();
    const answer = await new Promise<Result<Answer, WireError>>((settle) => {
      this.#pending.set(id, { connection, settle });
      void this.#sleep(timeoutMs, timer.signal).then(() => {
        if (!timer.signal.aborted) this.#expire(id, timeoutMs);
      });
    });
    timer.abort();
    return answer;
  }

  /** Settles a query; an answer to no query of this connection is dropped. */
  settle(connection: PeerConnection, id: number, answer: Answer): void {
    const pending = this.#pending.get(id);
    if (pending?.connection !== connection) return;
    this.#pending.delete(id);
    pending.settle(ok(answer));
  }

  /** Fails all queries of a connection that has closed. */
  fail(connection: PeerConnection): void {
    for (const [id, pending] of this.#pending) {
      if (pending.connection !== connection) continue;
      this.#pending.delete(id);
      pending.settle(
        err(new WireError("closed", "connection closed before the answer")),
      );
    }
  }

  #expire(id: number, timeoutMs: number): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    this.#pending.delete(id);
    const fault = new WireError("timeout", `no answer within ${timeoutMs} ms`);
    pending.settle(err(fault));
    pending.connection.discard("an answer timed out");
  }
}
