/**
 * From when to when the process of each server has been running for certain, by
 * this VM's own answers. A VM that fails to reach a server may have lost its
 * path to it; an answer to a request that was sent before shows that the server
 * was not started again.
 */

/** A process hardly ends and starts again between two answers this close. */
const MAX_GAP_MS = 250;
/** An answer may have been on its way when the process ended. */
const ANSWER_DELAY_MS = 100;

interface AliveSpan {
  readonly sinceMs: number;
  readonly untilMs: number;
}

export class AliveSpans {
  readonly #spans = new Map<string, AliveSpan>();

  /** Records the answer to a request. */
  add(
    id: string,
    { sentAtMs, nowMs }: { readonly sentAtMs: number; readonly nowMs: number },
  ): void {
    const span = this.#spans.get(id);
    const isJoined = span !== undefined &&
      sentAtMs <= span.untilMs + MAX_GAP_MS;
    const sinceMs = isJoined ? Math.min(span.sinceMs, sentAtMs) : sentAtMs;
    this.#spans.set(id, { sinceMs, untilMs: nowMs });
  }

  /** Forgets a server, whose process may have ended. */
  end(id: string): void {
    this.#spans.delete(id);
  }

  /**
   * Returns until when a process is known to have been running, if it was before
   * and after a time.
   */
  aliveAcross(id: string, atMs: number): number | undefined {
    const span = this.#spans.get(id);
    if (span === undefined || span.sinceMs >= atMs) return undefined;
    return span.untilMs >= atMs + ANSWER_DELAY_MS ? span.untilMs : undefined;
  }
}
