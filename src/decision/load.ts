/**
 * Estimates the load of a backend server. Load reports lag, and other VMs send
 * work to the same server, so an estimate combines the last report, weighted by
 * its age, with this VM's own requests in flight there.
 */

/** A load report, with this VM's own requests in flight when it was read. */
export interface LoadReport {
  readonly runningCount: number;
  readonly queuedCount: number;
  readonly slotCount: number;
  readonly ownInFlightCount: number;
  readonly readAtMs: number;
}

export interface LoadView {
  readonly report: LoadReport | undefined;
  /** Requests of this VM running or queued on the server now. */
  readonly ownInFlightCount: number;
}

/** Load assumed for a server whose report is missing or old. */
export interface LoadPrior {
  /** Share of slots occupied by other VMs. */
  readonly busyShare: number;
  readonly slotCount: number;
  /** Age at which a report and the prior have equal weight. */
  readonly halfLifeMs: number;
}

export interface LoadOptions {
  readonly nowMs: number;
  readonly prior: LoadPrior;
}

export interface LoadEstimate {
  /** Requests running or queued, from this VM and others. */
  readonly workCount: number;
  readonly slotCount: number;
  /** Requests per slot; above 1 a new request is queued. */
  readonly loadShare: number;
}

export const DEFAULT_LOAD_PRIOR: LoadPrior = {
  busyShare: 0.5,
  slotCount: 8,
  halfLifeMs: 5000,
};

/** Estimates the load; an old report decays to the prior, not to zero. */
export function estimateLoad(
  view: LoadView,
  options: LoadOptions,
): LoadEstimate {
  const { report } = view;
  const slotCount = Math.max(1, report?.slotCount ?? options.prior.slotCount);
  const priorCount = options.prior.busyShare * slotCount;
  const weight = report === undefined ? 0 : weightOf(report, options);
  const reportedCount = report === undefined ? 0 : countOthers(report);
  const othersCount = weight * reportedCount + (1 - weight) * priorCount;
  const workCount = othersCount + view.ownInFlightCount;
  return { workCount, slotCount, loadShare: workCount / slotCount };
}

function countOthers(report: LoadReport): number {
  const totalCount = report.runningCount + report.queuedCount;
  return Math.max(0, totalCount - report.ownInFlightCount);
}

function weightOf(report: LoadReport, options: LoadOptions): number {
  const ageMs = Math.max(0, options.nowMs - report.readAtMs);
  return 2 ** (-ageMs / options.prior.halfLifeMs);
}
