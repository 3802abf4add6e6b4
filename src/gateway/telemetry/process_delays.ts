/**
 * Measures how late this process's timers are. While code of its own runs, or
 * other processes have the processor, a VM neither reads nor answers: servers
 * and other VMs take it for silent, and its own time limits fire before it has
 * read what arrived in time. The processor time used meanwhile tells the two
 * apart.
 */
import { type Clock, type Logger, type Sleep } from "../../model/mod.ts";
import { type GatewayMetrics } from "./gateway_metrics.ts";

const PERIOD_MS = 100;
/** Pause between two log lines; what happens in it is told by the next one. */
const LOG_PERIOD_MS = 2000;

export interface DelayWatchOptions {
  /** A VM that is silent for longer is suspected by others. */
  readonly silenceMs: number;
  /** Processor time that this process has used so far. */
  readonly processorMs: () => number;
  /** Called whenever the process gets to its timers. */
  readonly onTurn?: () => void;
  readonly metrics: Pick<GatewayMetrics, "count" | "time">;
  readonly clock: Clock;
  readonly sleep: Sleep;
  readonly logger: Logger;
}

/** A time in which this process did not get to its timers. */
interface Delay {
  readonly lateMs: number;
  readonly processorMs: number;
}

/** Returns the processor time that this process has used so far. */
export function processorMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1000;
}

/** Measures and logs the delays of this process until the signal aborts. */
export async function watchDelays(
  options: DelayWatchOptions,
  signal: AbortSignal,
): Promise<void> {
  const { silenceMs, metrics, clock, sleep, logger } = options;
  let loggedAtMs = -Infinity;
  let count = 0;
  let longest: Delay = { lateMs: 0, processorMs: 0 };
  while (!signal.aborted) {
    const dueAtMs = clock() + PERIOD_MS;
    const usedBeforeMs = options.processorMs();
    await sleep(PERIOD_MS, signal);
    if (signal.aborted) return;
    options.onTurn?.();
    const nowMs = clock();
    const lateMs = Math.max(0, nowMs - dueAtMs);
    metrics.time("event_loop_late_ms", { durationMs: lateMs });
    if (lateMs > silenceMs) {
      metrics.count("event_loop_held_up", {});
      count += 1;
      if (lateMs > longest.lateMs) {
        const usedMs = options.processorMs() - usedBeforeMs;
        longest = { lateMs, processorMs: usedMs };
      }
    }
    if (count === 0 || nowMs - loggedAtMs < LOG_PERIOD_MS) continue;
    logger.warn("held up", {
      lateMs: Math.round(longest.lateMs),
      processorMs: Math.round(longest.processorMs),
      count,
    });
    loggedAtMs = nowMs;
    count = 0;
    longest = { lateMs: 0, processorMs: 0 };
  }
}
