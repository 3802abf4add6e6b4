/** The slots of an engine and the queue before them, most urgent first. */

interface QueuedRequest {
  readonly priority: number;
  readonly start: () => void;
}

/** Hands out slots by priority, then in order of arrival. */
export class EngineSlots {
  readonly slotCount: number;
  readonly #queueLimit: number;
  readonly #queue: QueuedRequest[] = [];
  #runningCount = 0;

  constructor(slotCount: number, queueLimit: number) {
    this.slotCount = slotCount;
    this.#queueLimit = queueLimit;
  }

  get runningCount(): number {
    return this.#runningCount;
  }

  get queuedCount(): number {
    return this.#queue.length;
  }

  /** Whether a further request would be refused. */
  get isFull(): boolean {
    return this.#runningCount >= this.slotCount &&
      this.#queue.length >= this.#queueLimit;
  }

  /** Resolves once a slot is the caller's. */
  acquire(priority: number): Promise<void> {
    if (this.#runningCount < this.slotCount) {
      this.#runningCount += 1;
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const later = this.#queue.findIndex((one) => one.priority > priority);
      const place = later < 0 ? this.#queue.length : later;
      this.#queue.splice(place, 0, { priority, start: resolve });
    });
  }

  /** Gives a slot back; the next in the queue takes it. */
  release(): void {
    const next = this.#queue.shift();
    if (next === undefined) this.#runningCount -= 1;
    else next.start();
  }
}
