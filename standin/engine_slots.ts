/** The slots of an engine and the priority queue for them. */

interface QueuedRequest {
  readonly priority: number;
  readonly start: () => void;
}

/** Assigns slots by priority (lowest number first), then by arrival. */
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

  /** Whether slots and queue are full, so that a request would be refused. */
  get isFull(): boolean {
    return this.#runningCount >= this.slotCount &&
      this.#queue.length >= this.#queueLimit;
  }

  /** Resolves once a slot is assigned. */
  acquire(priority: number): Promise<void> {
    if (this.#runningCount < this.slotCount) {
      this.#runningCount += 1;
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const laterIndex = this.#queue.findIndex((one) =>
        one.priority > priority
      );
      const position = laterIndex < 0 ? this.#queue.length : laterIndex;
      this.#queue.splice(position, 0, { priority, start: resolve });
    });
  }

  /** Releases a slot, or passes it to the next queued request. */
  release(): void {
    const next = this.#queue.shift();
    if (next === undefined) this.#runningCount -= 1;
    else next.start();
  }
}
