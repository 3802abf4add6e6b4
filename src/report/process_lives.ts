/**
 * When the processes of each VM began and stopped, and the time that the logs
 * cover, read from log lines in any order. Lines are matched as text, as only
 * few of them need to be parsed.
 */

/** A line that shows the start or the end of a process. */
export interface LifeChange {
  readonly event: "started" | "stopped";
  readonly atMs: number;
}

/** The time that a VM's log lines cover. */
export interface LogCoverage {
  readonly vm: string;
  readonly firstAtMs: number;
  readonly lastAtMs: number;
}

const TIME_AND_VM = /"time":"([^"]+)".*?"vm":"([^"]+)"/;
const CHANGE = /"event":"(started|stopped)"/;

/** Starts and stops by VM. */
export class ProcessLives {
  readonly #coverage = new Map<string, LogCoverage>();
  readonly #changes = new Map<string, LifeChange[]>();

  /** Adds a line; one that is not a log line is ignored. */
  add(line: string): void {
    const [, time, vm] = TIME_AND_VM.exec(line) ?? [];
    if (time === undefined || vm === undefined) return;
    const atMs = Date.parse(time);
    if (Number.isNaN(atMs)) return;
    const { firstAtMs, lastAtMs } = this.#coverage.get(vm) ??
      { firstAtMs: atMs, lastAtMs: atMs };
    this.#coverage.set(vm, {
      vm,
      firstAtMs: Math.min(firstAtMs, atMs),
      lastAtMs: Math.max(lastAtMs, atMs),
    });
    const event = CHANGE.exec(line)?.[1];
    if (event !== "started" && event !== "stopped") return;
    const changes = this.#changes.get(vm) ?? [];
    changes.push({ event, atMs });
    this.#changes.set(vm, changes);
  }

  /** Returns the first start or stop of a VM's process after a time. */
  changeAfter(vm: string, atMs: number): LifeChange | undefined {
    let first: LifeChange | undefined;
    for (const change of this.#changes.get(vm) ?? []) {
      if (change.atMs <= atMs) continue;
      if (first === undefined || change.atMs < first.atMs) first = change;
    }
    return first;
  }

  /** The time covered of each VM, by name. */
  coverage(): LogCoverage[] {
    return [...this.#coverage.values()].sort((a, b) => a.vm < b.vm ? -1 : 1);
  }
}
