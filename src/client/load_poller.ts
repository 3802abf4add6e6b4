/**
 * Polls the load reports of servers that have not sent one with a recent
 * answer. The number of polls per period is limited; servers with the oldest
 * reports come first.
 */
import { Agent } from "undici";
import { type Sleep, type Vm } from "../model/mod.ts";
import { parseLoadReport, type ServerReport } from "./load_report.ts";
import { type ServerDirectory } from "./server_directory.ts";
import { readBounded } from "./transport.ts";

const MAX_REPORT_BYTES = 65_536;

/** Fetches one server's load report; undefined if that fails. */
export type FetchReport = (vm: Vm) => Promise<ServerReport | undefined>;

/** Period, age limit and number of polls. */
export interface LoadPollerOptions {
  readonly directory: ServerDirectory;
  readonly fetchReport: FetchReport;
  readonly sleep: Sleep;
  readonly periodMs: number;
  /** Age from which a report is polled again. */
  readonly reportAgeMs: number;
  readonly maxPollsPerPeriod: number;
}

/** Polls periodically until `signal` aborts. */
export async function runLoadPoller(
  options: LoadPollerOptions,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await pollOnce(options);
    await options.sleep(options.periodMs, signal).catch(() => {});
  }
}

/** Polls the servers that are due, up to the limit per period. */
export async function pollOnce(options: LoadPollerOptions): Promise<void> {
  const due = options.directory.dueForPoll(options.reportAgeMs);
  const batch = due.slice(0, options.maxPollsPerPeriod);
  await Promise.all(batch.map(async (vm) => {
    const report = await options.fetchReport(vm);
    if (report === undefined) options.directory.recordFailedPoll(vm.vm);
    else options.directory.recordReport(vm.vm, report);
  }));
}

/** Creates a function that fetches a report over HTTP within `timeoutMs`. */
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
