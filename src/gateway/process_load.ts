/** How busy this process is, so that callers are sent where there is room. */
import { type Sleep } from "../model/mod.ts";
import { type GatewayMetrics } from "./gateway_metrics.ts";

const PERIOD_MS = 1000;

/** What watching needs. */
export interface LoadWatchOptions {
  /** Processor cores, or a share of one. */
  readonly coreShare: number;
  readonly metrics: GatewayMetrics;
  /** Takes the part of a whole core that is not to be had here. */
  readonly onLoad: (loadShare: number) => void;
  readonly sleep: Sleep;
}

/** Tells the load once a period until the signal aborts. */
export async function watchLoad(
  { coreShare, metrics, onLoad, sleep }: LoadWatchOptions,
  signal: AbortSignal,
): Promise<void> {
  const wholeShare = Math.min(1, coreShare);
  let before = performance.eventLoopUtilization();
  while (!signal.aborted) {
    await sleep(PERIOD_MS, signal);
    const now = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(now, before);
    before = now;
    onLoad(1 - wholeShare * (1 - utilization));
    metrics.set("event_loop_busy_share", utilization);
  }
}
