/**
 * One VM's counts: short windows of the last hour, told to whoever asks, and
 * hourly windows that go into the log. Each start, hour and planned end leaves a
 * window in the log even without requests, so that a reader can tell a VM that
 * counted nothing from one whose counts are missing.
 */
import { type VersionName } from "../model/mod.ts";
import { type RecordOf } from "../state/mod.ts";
import { type BurnObservation, BurnSeries } from "./burn_series.ts";
import {
  type BurnWindow,
  LIVE_WINDOW_MS,
  RECORD_WINDOW_MS,
  type VmBurn,
  type WallClock,
} from "./burn_window.ts";

const MAX_RECENT_WINDOWS = RECORD_WINDOW_MS / LIVE_WINDOW_MS + 1;
const MAX_UNRECORDED_WINDOWS = 8192;
const MAX_BAD_VERSIONS = 64;
const MIN_WINDOW_MS = 1;

/** What a counter needs. */
export interface BurnCounterOptions {
  readonly vm: string;
  readonly wallClock: WallClock;
  /** Makes an id that no VM makes twice. */
  readonly makeId: () => string;
}

/** Counts the requests of one VM. */
export class BurnCounter {
  readonly #options: BurnCounterOptions;
  readonly #startedAtMs: number;
  readonly #unrecorded = new Map<string, BurnWindow>();
  readonly #badVersions = new Set<VersionName>();
  #recent: BurnSeries[];
  #hour: BurnSeries;
  #droppedCount = 0;

  constructor(options: BurnCounterOptions) {
    this.#options = options;
    this.#startedAtMs = options.wallClock();
    this.#recent = [new BurnSeries(this.#startedAtMs)];
    this.#hour = new BurnSeries(this.#startedAtMs);
    this.#keep(this.#hour.windows(options.vm, MIN_WINDOW_MS));
  }

  /** Counts one request. */
  countRequest(given: BurnObservation): void {
    this.roll();
    const { version } = given;
    const isBad = version !== undefined && this.#badVersions.has(version);
    const observation: BurnObservation = isBad
      ? { ...given, outcome: "badVersion" }
      : given;
    this.#recent.at(-1)?.countRequest(observation);
    this.#hour.countRequest(observation);
  }

  /** Counts a version's answers in the running windows, and later, as bad. */
  markBad(version: VersionName): void {
    if (this.#badVersions.has(version)) return;
    this.#badVersions.add(version);
    if (this.#badVersions.size > MAX_BAD_VERSIONS) {
      const [oldest] = this.#badVersions;
      if (oldest !== undefined) this.#badVersions.delete(oldest);
    }
    for (const series of this.#recent) series.markBad(version);
    this.#hour.markBad(version);
  }

  /** Closes the windows that have ended. */
  roll(): void {
    const nowMs = this.#options.wallClock();
    const newest = this.#recent.at(-1);
    if (newest === undefined || endOf(newest, LIVE_WINDOW_MS) <= nowMs) {
      const next = new BurnSeries(startOf(nowMs, LIVE_WINDOW_MS));
      this.#recent = [...this.#recent, next].slice(-MAX_RECENT_WINDOWS);
    }
    const hourEndMs = endOf(this.#hour, RECORD_WINDOW_MS);
    if (hourEndMs > nowMs) return;
    this.#closeHour(hourEndMs, startOf(nowMs, RECORD_WINDOW_MS));
  }

  /** Closes the running hour early, for a planned end. */
  close(): void {
    const nowMs = this.#options.wallClock();
    this.#closeHour(nowMs, nowMs);
  }

  /** Records that the log has not confirmed, oldest first, at most `limit`. */
  records(limit: number): RecordOf<"burn">[] {
    const records: RecordOf<"burn">[] = [];
    for (const [id, window] of this.#unrecorded) {
      if (records.length >= limit) break;
      records.push({ kind: "burn", id, ...window });
    }
    return records;
  }

  /** The log has confirmed a record. */
  confirm(id: string): void {
    this.#unrecorded.delete(id);
  }

  /** What this VM tells of itself. */
  snapshot(): VmBurn {
    this.roll();
    const { vm, wallClock } = this.#options;
    const nowMs = wallClock();
    const recent = this.#recent.flatMap((series) =>
      series.windows(vm, durationMsOf(series, LIVE_WINDOW_MS, nowMs))
    );
    const hour = this.#hour.windows(
      vm,
      durationMsOf(this.#hour, RECORD_WINDOW_MS, nowMs),
    );
    return {
      vm,
      startedAtMs: this.#startedAtMs,
      nowMs,
      unrecorded: [...this.#unrecorded.values(), ...hour],
      recent,
      droppedCount: this.#droppedCount,
    };
  }

  #closeHour(endMs: number, nextStartMs: number): void {
    const spanMs = Math.max(MIN_WINDOW_MS, endMs - this.#hour.startMs);
    this.#keep(this.#hour.windows(this.#options.vm, spanMs));
    this.#hour = new BurnSeries(nextStartMs);
  }

  #keep(windows: readonly BurnWindow[]): void {
    for (const window of windows) {
      this.#unrecorded.set(this.#options.makeId(), window);
    }
    for (const id of this.#unrecorded.keys()) {
      if (this.#unrecorded.size <= MAX_UNRECORDED_WINDOWS) return;
      this.#unrecorded.delete(id);
      this.#droppedCount += 1;
    }
  }
}

function startOf(atMs: number, windowMs: number): number {
  return Math.floor(atMs / windowMs) * windowMs;
}

function endOf(series: BurnSeries, windowMs: number): number {
  return startOf(series.startMs, windowMs) + windowMs;
}

function durationMsOf(
  series: BurnSeries,
  windowMs: number,
  nowMs: number,
): number {
  const endMs = Math.min(endOf(series, windowMs), nowMs);
  return Math.max(MIN_WINDOW_MS, Math.round(endMs - series.startMs));
}
