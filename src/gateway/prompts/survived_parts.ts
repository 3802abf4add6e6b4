/** When answers to prompt parts last got far; the oldest parts are forgotten. */
const MAX_PARTS = 4096;

/** The last times, by part. */
export class SurvivedParts {
  /** In the order of the records. */
  readonly #atMs = new Map<string, number>();
  #newestAtMs = -Infinity;

  /** The newest of all times; -Infinity before the first. */
  get newestAtMs(): number {
    return this.#newestAtMs;
  }

  /** Records a time, unless a later one is known. */
  record(partId: string, atMs: number): void {
    const knownMs = this.#atMs.get(partId);
    if (knownMs !== undefined && knownMs >= atMs) return;
    this.#newestAtMs = Math.max(this.#newestAtMs, atMs);
    this.#atMs.delete(partId);
    this.#atMs.set(partId, atMs);
    const [oldest] = this.#atMs.keys();
    if (this.#atMs.size > MAX_PARTS && oldest !== undefined) {
      this.#atMs.delete(oldest);
    }
  }

  /** When an answer to the part last got far, as far as is remembered. */
  lastAtMs(partId: string): number | undefined {
    return this.#atMs.get(partId);
  }
}
