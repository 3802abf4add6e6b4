/**
 * The memory of answers that are held until they are complete, and from then on
 * until their callers have read them. A short answer always has room. A longer
 * one waits for room, in the order in which the requests began, while its server
 * is not read from. The oldest goes on beyond the share where all that have
 * taken memory wait for more, so that none waits for good.
 *
 * The usual length of a route's answers is reserved before a request is sent:
 * one whose answer would have no room is refused while it has not run.
 */
import { type VmMemory } from "./vm_memory.ts";

/** Bytes of an answer that never wait. */
export const SHORT_ANSWER_BYTES = 64 * 1024;
/** Factor of the usual length at each shorter answer. */
const USUAL_DECAY = 0.9;

/** The memory for the answers of all requests. */
export class AnswerMemory {
  readonly #memory: VmMemory;
  readonly #usualBytes = new Map<string, number>();
  /** Requests whose answers wait, the oldest first. */
  readonly #waiting: RequestMemory[] = [];
  /** Requests with memory that do not wait for more. */
  readonly #going = new Set<RequestMemory>();
  #openedCount = 0;

  constructor(memory: VmMemory) {
    this.#memory = memory;
  }

  /** Creates the memory of one request of a route. */
  open(route: string): RequestMemory {
    return new RequestMemory(this, { route, sequence: ++this.#openedCount });
  }

  /** The length that answers of a route are expected to have; 0 if short. */
  usualBytesOf(route: string): number {
    const usualBytes = this.#usualBytes.get(route) ?? 0;
    return usualBytes > SHORT_ANSWER_BYTES ? Math.round(usualBytes) : 0;
  }

  /**
   * Records the length of a complete answer. The usual length falls slowly: an
   * answer that has less than it needs waits with what it has.
   */
  recordLength(route: string, bytes: number): void {
    const usualBytes = this.#usualBytes.get(route) ?? 0;
    this.#usualBytes.set(route, Math.max(bytes, USUAL_DECAY * usualBytes));
  }

  /** Takes memory unless older requests wait for some or the share is used up. */
  tryTake(request: RequestMemory, bytes: number): boolean {
    const [oldest] = this.#waiting;
    if (oldest !== undefined && oldest.sequence < request.sequence) {
      return false;
    }
    if (!this.#memory.hasRoom("answers", bytes) && this.#going.size > 0) {
      return false;
    }
    this.take(request, bytes);
    return true;
  }

  /** Takes memory, also beyond the share. */
  take(request: RequestMemory, bytes: number): void {
    this.#memory.take("answers", bytes);
    this.#going.add(request);
  }

  /** Returns memory of a request; it may go on to use the rest. */
  release(request: RequestMemory, bytes: number): void {
    this.#memory.release("answers", bytes);
    if (request.takenBytes === 0) this.#going.delete(request);
    this.#wake();
  }

  /** Adds a request that waits. */
  wait(request: RequestMemory): void {
    this.#going.delete(request);
    const after = this.#waiting.findIndex(({ sequence }) =>
      sequence > request.sequence
    );
    this.#waiting.splice(after < 0 ? this.#waiting.length : after, 0, request);
    this.#wake();
  }

  /** Removes a request that waits no longer. */
  endWait(request: RequestMemory): void {
    const index = this.#waiting.indexOf(request);
    if (index < 0) return;
    this.#waiting.splice(index, 1);
    if (request.takenBytes > 0) this.#going.add(request);
    this.#wake();
  }

  #wake(): void {
    for (;;) {
      const [oldest] = this.#waiting;
      if (oldest === undefined) return;
      const bytes = oldest.wantedBytes;
      if (!this.#memory.hasRoom("answers", bytes) && this.#going.size > 0) {
        return;
      }
      this.#waiting.shift();
      this.#going.add(oldest);
      oldest.grant();
    }
  }
}

/** The memory of one request's answers, whichever server they come from. */
export class RequestMemory {
  readonly sequence: number;
  readonly #memory: AnswerMemory;
  readonly #route: string;
  #takenBytes = 0;
  /** What an answer takes that is kept while another one is awaited. */
  #keptBytes = 0;
  #wantedBytes = 0;
  #onGranted: () => void = () => {};
  #isReleased = false;

  constructor(
    memory: AnswerMemory,
    { route, sequence }: { readonly route: string; readonly sequence: number },
  ) {
    this.#memory = memory;
    this.#route = route;
    this.sequence = sequence;
  }

  get takenBytes(): number {
    return this.#takenBytes;
  }

  /** Bytes that it waits for. */
  get wantedBytes(): number {
    return this.#wantedBytes;
  }

  /** Takes what answers of the route usually need; false if there is no room. */
  begin(): boolean {
    const usualBytes = this.#memory.usualBytesOf(this.#route);
    if (usualBytes === 0) return true;
    if (!this.#memory.tryTake(this, usualBytes)) return false;
    this.#takenBytes += usualBytes;
    return true;
  }

  /**
   * Reserves the length of an answer, as far as it is known; returns false if
   * that has to wait, until `onGranted` is called.
   */
  reserve(answerBytes: number, onGranted: () => void): boolean {
    if (this.#isReleased) return true;
    this.#takeTo(Math.min(answerBytes, SHORT_ANSWER_BYTES));
    const bytes = this.#keptBytes + answerBytes - this.#takenBytes;
    if (bytes <= 0) return true;
    if (this.#memory.tryTake(this, bytes)) {
      this.#takenBytes += bytes;
      return true;
    }
    this.#wantedBytes = bytes;
    this.#onGranted = () => {};
    this.#memory.wait(this);
    if (this.#wantedBytes === 0) return true;
    this.#onGranted = onGranted;
    return false;
  }

  /** Gives it what it waits for. */
  grant(): void {
    this.#memory.take(this, this.#wantedBytes);
    this.#takenBytes += this.#wantedBytes;
    this.#wantedBytes = 0;
    this.#onGranted();
  }

  /** Ends the wait of an answer that is not read any further. */
  endWait(): void {
    if (this.#wantedBytes === 0) return;
    this.#wantedBytes = 0;
    this.#memory.endWait(this);
  }

  /** Keeps no more than a complete answer takes. */
  settle(answerBytes: number): void {
    if (this.#isReleased) return;
    this.#memory.recordLength(this.#route, answerBytes);
    this.#takeTo(answerBytes);
    this.#release(this.#takenBytes - this.#keptBytes - answerBytes);
  }

  /** Returns what an answer took that is dropped. */
  drop(): void {
    this.endWait();
    this.#release(this.#takenBytes - this.#keptBytes);
  }

  /** Keeps the answer that was settled, beside the next one. */
  keep(): void {
    this.#keptBytes = this.#takenBytes;
  }

  /** Returns everything. */
  release(): void {
    this.endWait();
    this.#isReleased = true;
    this.#release(this.#takenBytes);
  }

  #takeTo(answerBytes: number): void {
    const bytes = this.#keptBytes + answerBytes - this.#takenBytes;
    if (bytes <= 0) return;
    this.#memory.take(this, bytes);
    this.#takenBytes += bytes;
  }

  #release(bytes: number): void {
    if (bytes <= 0) return;
    this.#takenBytes -= bytes;
    this.#memory.release(this, bytes);
  }
}
