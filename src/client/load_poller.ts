/**
 * Polls the load reports of servers that have not reported with an answer for a
 * while. The number of polls by period is bounded, the oldest reports first.
 */
import { Agent } from "undici";
import { type Sleep, type Vm } from "../model/mod.ts";
import { parseLoadReport, type ServerReport } from "./load_report.ts";
import { type ServerDirectory } from "./server_directory.ts";
import { readBounded } from "./transport.ts";

const MAX_REPORT_BYTES = 65_536;

/** Asks one server for its report. */
export type FetchReport = (vm: Vm) => Promise<ServerReport | undefined>;

/** When and how many servers are polled. */
export interface LoadPollerOptions {
  readonly directory: ServerDirectory;
  readonly fetchReport: FetchReport;
  readonly sleep: Sleep;
  readonly periodMs: number;
  /** Age at which a report is asked for. */
  readonly reportAgeMs: number;
  readonly maxPollsPerPeriod: number;
}

/** Polls until `signal` aborts. */
export async function runLoadPoller(
  options: LoadPollerOptions,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await pollOnce(options);
    await options.sleep(options.periodMs, signal).catch(() => {});
  }
}

/** Polls the servers that are due now. */
export async function pollOnce(options: LoadPollerOptions): Promise<void> {
  const due = options.directory.dueForPoll(options.reportAgeMs);
  const batch = due.slice(0, options.maxPollsPerPeriod);
  await Promise.all(batch.map(async (vm) => {
    const report = await options.fetchReport(vm);
    if (report === undefined) options.directory.recordFailedPoll(vm.vm);
    else options.directory.recordReport(vm.vm, report);
  }));
}

/** Fetches reports over HTTP, each within `timeoutMs`. */
export function createReportFetch(timeoutMs: number): FetchReport {
  const agent = new Agent({ connect: { timeout: timeoutMs }, pipelining: 1 });
  return async (vm) => {
    try {
      const response = await agent.request({
        origin: `http://${vm.address}`,
        path: vm.kind === "engine" ? "/v1/load" : "/load",
        method: "GET",
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
        signal: AbortSignal.timeout(timeoutMs),
      });
      return parseLoadReport(
        await readBounded(response.body, MAX_REPORT_BYTES),
      );
    } catch {
      return undefined;
    }
  };
}
