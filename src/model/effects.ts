/**
 * The effects that a process passes into the code that decides: clock, random
 * source, timers, logs and metrics. Pure layers see only these types.
 */

/** Monotonic time of this process in milliseconds; never compared between VMs. */
export type Clock = () => number;

/** A uniform random number in [0, 1). */
export type Random = () => number;

/** Resolves after `durationMs`, or early when `signal` aborts. */
export type Sleep = (durationMs: number, signal?: AbortSignal) => Promise<void>;

/** Fields of a log line. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes JSON log lines; `event` is a fixed text, details are fields. */
export interface Logger {
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** Sends metrics; a missing daemon is never an error. */
export interface Metrics {
  count(name: string, amount?: number, tags?: LogFields): void;
  gauge(name: string, value: number, tags?: LogFields): void;
  timing(name: string, durationMs: number, tags?: LogFields): void;
}

/** A logger that drops every line. */
export const silentLogger: Logger = {
  info: () => {},
  warn: () => {},
  error: () => {},
};

/** Metrics that are dropped. */
export const noMetrics: Metrics = {
  count: () => {},
  gauge: () => {},
  timing: () => {},
};
