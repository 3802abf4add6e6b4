/** Measures the load of this process, by which callers are distributed. */
import { type Sleep } from "../../model/mod.ts";
import { type GatewayMetrics } from "./gateway_metrics.ts";

const PERIOD_MS = 1000;

export interface LoadWatchOptions {
  /** Processor cores of this VM; below 1 it is a share of one core. */
  readonly coreShare: number;
  readonly metrics: GatewayMetrics;
  /** Receives the load: 1 minus the free share of one processor core. */
  readonly onLoad: (loadShare: number) => void;
  readonly sleep: Sleep;
}

/** Reports the load once per period until the signal aborts. */
export async function watchLoad(
  { coreShare, metrics, onLoad, sleep }: LoadWatchOptions,
  signal: AbortSignal,
): Promise<void> {
  const ownCoreShare = Math.min(1, coreShare);
  let before = performance.eventLoopUtilization();
  while (!signal.aborted) {
    await sleep(PERIOD_MS, signal);
    const now = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(now, before);
    before = now;
    onLoad(1 - ownCoreShare * (1 - utilization));
    metrics.set("event_loop_busy_share", utilization);
  }
}
