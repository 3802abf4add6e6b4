/**
 * Interfaces of the side effects that a process injects into decision code:
 * clock, random source, timers, logs and metrics. Pure layers depend on these
 * types only.
 */

/**
 * Monotonic time of this process in milliseconds; not comparable between VMs.
 */
export type Clock = () => number;

/** A uniform random number in [0, 1). */
export type Random = () => number;

/** Resolves after `durationMs`, or early when `signal` aborts. */
export type Sleep = (durationMs: number, signal?: AbortSignal) => Promise<void>;

export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes JSON log lines; `event` is a fixed text, details are fields. */
export interface Logger {
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** Sends metrics. A missing metrics daemon is not an error. */
export interface Metrics {
  count(name: string, amount?: number, tags?: LogFields): void;
  gauge(name: string, value: number, tags?: LogFields): void;
  timing(name: string, durationMs: number, tags?: LogFields): void;
}

/** Discards every line. */
export const silentLogger: Logger = {
  info: () => {},
  warn: () => {},
  error: () => {},
};

/** Discards every metric. */
export const noMetrics: Metrics = {
  count: () => {},
  gauge: () => {},
  timing: () => {},
};
