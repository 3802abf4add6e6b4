/**
 * Open-loop load: requests are sent at random times that do not depend on how
 * fast answers arrive, and each request records its intended send time so that
 * latency can be measured from it.
 */
import { performance } from "node:perf_hooks";
import { Caller, type CallerRequest } from "./caller.ts";
import { type Cluster } from "./cluster.ts";
import { EntryDirectory, type ReadList } from "./entry_directory.ts";
import { type CallRecord } from "./evidence.ts";
import { type Workload } from "./workload.ts";

/** A request that was sent and the last call made for it. */
export interface SentRequest {
  readonly request: CallerRequest;
  readonly intendedMs: number;
  readonly last: CallRecord;
}

/** Options of a load run. */
export interface LoadOptions {
  readonly cluster: Cluster;
  readonly workload: Workload;
  readonly requestsPerSecond: number;
  readonly durationMs: number;
}

/** The requests and calls of a load run. */
export interface LoadResult {
  readonly requests: readonly SentRequest[];
  readonly calls: readonly CallRecord[];
  /** The lists of entry VMs that the callers used. */
  readonly readLists: readonly ReadList[];
}

/** Sends requests for a time and waits until every one has ended. */
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
    running.push(sendOne({ caller, directory, workload, cluster }, dueMs));
  }
  const requests = await Promise.all(running);
  directory.close();
  await caller.close();
  return { requests, calls: caller.calls, readLists: directory.readLists };
}

interface LoadContext {
  readonly caller: Caller;
  readonly directory: EntryDirectory;
  readonly workload: Workload;
  readonly cluster: Cluster;
}

async function sendOne(
  context: LoadContext,
  intendedMs: number,
): Promise<SentRequest> {
  const { caller, directory, workload, cluster } = context;
  const request = workload.next();
  const region = request.workspace.split("/")[1];
  const place = cluster.site.plan.places.find((one) => one.region === region);
  const entryOf = directory.choices(place?.place ?? "", workload.random());
  return {
    request,
    intendedMs,
    last: await caller.send(request, { entryOf }),
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
