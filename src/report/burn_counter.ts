/**
 * Request counts of one VM: short windows of the last hour, served on request,
 * and hourly windows that are appended to the log. Each start, full hour and
 * planned stop adds a window to the log even without requests, which
 * distinguishes a VM without requests from one whose counts are missing.
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

export interface BurnCounterOptions {
  readonly vm: string;
  readonly wallClock: WallClock;
  /** Returns an id that is unique across all VMs. */
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
    this.#addUnrecorded(this.#hour.windows(options.vm, MIN_WINDOW_MS));
  }

  countRequest(observation: BurnObservation): void {
    this.roll();
    const { version } = observation;
    const isBad = version !== undefined && this.#badVersions.has(version);
    const counted: BurnObservation = isBad
      ? { ...observation, outcome: "badVersion" }
      : observation;
    this.#recent.at(-1)?.countRequest(counted);
    this.#hour.countRequest(counted);
  }

  /** Counts a version's answers as bad, in the open windows and from now on. */
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

  /** Closes the current hourly window early, for a planned stop. */
  close(): void {
    const nowMs = this.#options.wallClock();
    this.#closeHour(nowMs, nowMs);
  }

  /** Returns up to `limit` records not yet confirmed by the log, oldest first. */
  records(limit: number): RecordOf<"burn">[] {
    const records: RecordOf<"burn">[] = [];
    for (const [id, window] of this.#unrecorded) {
      if (records.length >= limit) break;
      records.push({ kind: "burn", id, ...window });
    }
    return records;
  }

  /** Removes a record that the log has confirmed. */
  confirm(id: string): void {
    this.#unrecorded.delete(id);
  }

  /** Returns this VM's counts for the burn report. */
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
    this.#addUnrecorded(this.#hour.windows(this.#options.vm, spanMs));
    this.#hour = new BurnSeries(nextStartMs);
  }

  #addUnrecorded(windows: readonly BurnWindow[]): void {
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
