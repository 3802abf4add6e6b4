/**
 * What one VM knows of a backend server's load. Reports lag and go stale, and a
 * server is shared with VMs that this one knows nothing of, so every estimate
 * joins the aged report with what this VM itself has in flight there.
 */

/** A load report, with the time it was read and what we had there then. */
export interface LoadReport {
  readonly runningCount: number;
  readonly queuedCount: number;
  readonly slotCount: number;
  readonly ownInFlightCount: number;
  readonly readAtMs: number;
}

/** What an estimate is made from. */
export interface LoadView {
  readonly report: LoadReport | undefined;
  /** Requests of this VM running or queued on the server now. */
  readonly ownInFlightCount: number;
}

/** What is assumed of a server whose report is missing or old. */
export interface LoadPrior {
  /** Share of slots occupied by other VMs. */
  readonly busyShare: number;
  readonly slotCount: number;
  /** Age at which a report and the prior weigh the same. */
  readonly halfLifeMs: number;
}

/** The time and the prior of an estimate. */
export interface LoadOptions {
  readonly nowMs: number;
  readonly prior: LoadPrior;
}

/** The estimated load of a server. */
export interface LoadEstimate {
  /** Requests running or queued, ours and others'. */
  readonly workCount: number;
  readonly slotCount: number;
  /** Work by slot: above 1 a new request waits. */
  readonly loadShare: number;
}

/** The prior of a server nothing is known of. */
export const DEFAULT_LOAD_PRIOR: LoadPrior = {
  busyShare: 0.5,
  slotCount: 8,
  halfLifeMs: 5000,
};

/** Estimates a server's load; an old report decays to the prior, not to zero. */
export function estimateLoad(
  view: LoadView,
  options: LoadOptions,
): LoadEstimate {
  const { report } = view;
  const slotCount = Math.max(1, report?.slotCount ?? options.prior.slotCount);
  const priorCount = options.prior.busyShare * slotCount;
  const weight = report === undefined ? 0 : weightOf(report, options);
  const reportedCount = report === undefined ? 0 : othersAt(report);
  const othersCount = weight * reportedCount + (1 - weight) * priorCount;
  const workCount = othersCount + view.ownInFlightCount;
  return { workCount, slotCount, loadShare: workCount / slotCount };
}

function othersAt(report: LoadReport): number {
  const totalCount = report.runningCount + report.queuedCount;
  return Math.max(0, totalCount - report.ownInFlightCount);
}

function weightOf(report: LoadReport, options: LoadOptions): number {
  const ageMs = Math.max(0, options.nowMs - report.readAtMs);
  return 2 ** (-ageMs / options.prior.halfLifeMs);
}
