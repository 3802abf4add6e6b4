/**
 * Open-loop load: requests are sent at times drawn beforehand, however slow the
 * answers are, and latency is counted from the intended time.
 */
import { performance } from "node:perf_hooks";
import { Caller, type CallerRequest } from "./caller.ts";
import { type Cluster } from "./cluster.ts";
import { EntryDirectory } from "./entry_directory.ts";
import { type CallRecord } from "./evidence.ts";
import { type Workload } from "./workload.ts";

/** One request with its last call. */
export interface SentRequest {
  readonly request: CallerRequest;
  readonly intendedMs: number;
  readonly last: CallRecord;
}

/** How load is offered. */
export interface LoadOptions {
  readonly cluster: Cluster;
  readonly workload: Workload;
  readonly requestsPerSecond: number;
  readonly durationMs: number;
}

/** What load left behind. */
export interface LoadResult {
  readonly requests: readonly SentRequest[];
  readonly calls: readonly CallRecord[];
}

/** Offers load for a time and waits until every request has ended. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const { cluster, workload } = options;
  const caller = new Caller();
  const directory = new EntryDirectory(cluster);
  await directory.start();
  const running: Promise<SentRequest>[] = [];
  const startMs = performance.now();
  let dueMs = startMs;
  for (;;) {
    dueMs += gapMs(workload, options.requestsPerSecond);
    if (dueMs - startMs > options.durationMs) break;
    await sleepUntil(dueMs);
    running.push(askOne({ caller, directory, workload, cluster }, dueMs));
  }
  const asked = await Promise.all(running);
  directory.close();
  await caller.close();
  return { requests: asked, calls: caller.calls };
}

interface Parties {
  readonly caller: Caller;
  readonly directory: EntryDirectory;
  readonly workload: Workload;
  readonly cluster: Cluster;
}

async function askOne(
  parties: Parties,
  intendedMs: number,
): Promise<SentRequest> {
  const { caller, directory, workload, cluster } = parties;
  const ask = workload.next();
  const region = ask.workspace.split("/")[1];
  const place = cluster.site.plan.places.find((one) => one.region === region);
  const entryOf = directory.choices(place?.place ?? "", workload.random());
  return {
    request: ask,
    intendedMs,
    last: await caller.send(ask, { entryOf }),
  };
}

function gapMs(workload: Workload, requestsPerSecond: number): number {
  return -Math.log(1 - workload.random()) * 1000 / requestsPerSecond;
}

function sleepUntil(dueMs: number): Promise<void> {
  const waitMs = dueMs - performance.now();
  if (waitMs <= 0) return Promise.resolve();
  return new Promise((resolve) => setTimeout(resolve, waitMs));
}
