/**
 * Questions that wait for their answer. Their number is bounded, each has a
 * timeout, and a connection on which one times out is discarded, since nothing
 * tells a slow peer from a connection that has gone silent.
 */
import { err, ok, type Result } from "neverthrow";
import { type Sleep } from "../model/mod.ts";
import { type PeerConnection } from "./connection.ts";
import { WireError } from "./error.ts";
import { type Answer, type Query } from "./message.ts";

/** The most questions that wait at once. */
export const MAX_PENDING_QUERIES = 1024;

interface PendingQuery {
  readonly connection: PeerConnection;
  readonly settle: (answer: Result<Answer, WireError>) => void;
}

/** The questions of one process. */
export class PendingQueries {
  readonly #sleep: Sleep;
  readonly #waiting = new Map<number, PendingQuery>();
  #nextId = 1;

  constructor(options: { readonly sleep: Sleep }) {
    this.#sleep = options.sleep;
  }

  /** Asks over one connection. */
  async query(
    connection: PeerConnection,
    ask: Query,
    timeoutMs: number,
  ): Promise<Result<Answer, WireError>> {
    if (this.#waiting.size >= MAX_PENDING_QUERIES) {
      return err(
        new WireError("queue_full", `${MAX_PENDING_QUERIES} asks wait`),
      );
    }
    const id = this.#nextId;
    this.#nextId += 1;
    const sent = connection.send({ kind: "ask", id, ask });
    if (sent.isErr()) return err(sent.error);
    const timer = new AbortController();
    const answer = await new Promise<Result<Answer, WireError>>((settle) => {
      this.#waiting.set(id, { connection, settle });
      void this.#sleep(timeoutMs, timer.signal).then(() => {
        if (!timer.signal.aborted) this.#expire(id, timeoutMs);
      });
    });
    timer.abort();
    return answer;
  }

  /** Hands over an answer; one to no question of this connection is dropped. */
  settle(connection: PeerConnection, id: number, answer: Answer): void {
    const waiting = this.#waiting.get(id);
    if (waiting?.connection !== connection) return;
    this.#waiting.delete(id);
    waiting.settle(ok(answer));
  }

  /** Fails all questions of a connection that has closed. */
  fail(connection: PeerConnection): void {
    for (const [id, waiting] of this.#waiting) {
      if (waiting.connection !== connection) continue;
      this.#waiting.delete(id);
      waiting.settle(err(new WireError("closed", "closed before the answer")));
    }
  }

  #expire(id: number, timeoutMs: number): void {
    const waiting = this.#waiting.get(id);
    if (waiting === undefined) return;
    this.#waiting.delete(id);
    const fault = new WireError("timeout", `no answer in ${timeoutMs} ms`);
    waiting.settle(err(fault));
    waiting.connection.discard("an answer timed out");
  }
}
