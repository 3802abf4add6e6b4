/**
 * The backend servers that this VM uses: a subset of the VM list's rows for
 * each service. Each server has its newest load report, this VM's work in
 * flight, a circuit breaker and smoothed latencies. Load reports come with
 * answers, or by polling from servers without recent answers, and carry their
 * time of receipt.
 */
import {
  applyBreaker,
  type BreakerLimits,
  chooseSubset,
  CLOSED_BREAKER,
  DEFAULT_BREAKER_LIMITS,
  DEFAULT_SUBSET_LIMITS,
  NEUTRAL_SLOWNESS,
  recordSignal,
  type ServerSignal,
  type ServerView,
  type SubsetLimits,
} from "../decision/mod.ts";
import { type Clock, type Vm } from "../model/mod.ts";
import { type ServerReport } from "./load_report.ts";
import {
  createServerRecord,
  recordUse,
  type ServerRecord,
  toView,
  type UseResult,
} from "./server_record.ts";
import { type Drains } from "./drains.ts";
import { DurationEstimates } from "./duration_estimates.ts";

/** Source of the VM list's rows as last read, with their age. */
export interface VmSource {
  vms(): readonly Vm[];
  ageMs(): number;
}

export interface ServerDirectoryOptions {
  /** Name of this VM. */
  readonly self: string;
  readonly source: VmSource;
  /** Places from near to far, starting with this VM's own. */
  readonly places: readonly string[];
  readonly clock: Clock;
  readonly drains: () => Drains;
  readonly priorFirstTokenMs: number;
  readonly priorServiceMs: number;
  readonly breakerLimits?: BreakerLimits;
  readonly subsetLimits?: SubsetLimits;
}

/** A piece of work in flight on one server. */
export interface ServerUse {
  /** Records the result; a second call has no effect. */
  finish(result: UseResult): void;
}

/** The backend servers in use, with their load and health. */
export class ServerDirectory {
  readonly #options: ServerDirectoryOptions;
  readonly #estimates: DurationEstimates;
  readonly #records = new Map<string, ServerRecord>();
  #vms: readonly Vm[] = [];
  #subsets = new Map<string, readonly ServerRecord[]>();

  constructor(options: ServerDirectoryOptions) {
    this.#options = options;
    this.#estimates = new DurationEstimates({
      firstTokenMs: options.priorFirstTokenMs,
      serviceMs: options.priorServiceMs,
    });
  }

  /** Returns a service's servers, with estimates for a kind of work. */
  views(service: string, workKind: string): ServerView[] {
    const options = {
      drains: this.#options.drains(),
      expected: this.#estimates.of(workKind),
      nowMs: this.#options.clock(),
    };
    return this.#subsetOf(service).map((record) => toView(record, options));
  }

  /** Returns a server's address while the VM list contains the server. */
  addressOf(server: string): string | undefined {
    return this.#records.get(server)?.vm.address;
  }

  /** Counts work on a server as in flight until it is finished. */
  begin(server: string, workKind: string): ServerUse {
    const record = this.#records.get(server);
    if (record === undefined) return { finish: () => {} };
    const nowMs = this.#options.clock();
    record.inFlightCount += 1;
    record.firstUsedAtMs ??= nowMs;
    if (record.breaker.phase !== "closed") this.#markProbeSent(record);
    let isOpen = true;
    return {
      finish: (result) => {
        if (!isOpen) return;
        isOpen = false;
        const expected = this.#estimates.of(workKind);
        recordUse(record, result, { ...this.#breakerOptions(), expected });
        if (result.verdict === "success") {
          this.#estimates.record(workKind, result);
        }
      },
    };
  }

  /**
   * Records an answer or a poll of a server and the load report with it, if
   * any. A report with a lower sequence number than the last one is ignored,
   * unless it has another server name.
   */
  recordReport(server: string, report: ServerReport | undefined): void {
    const record = this.#records.get(server);
    if (record === undefined) return;
    record.lastCheckedAtMs = this.#options.clock();
    if (report === undefined) return;
    this.#recordSignal(record, { kind: "probe", isAnswered: true });
    if (record.isReported && report.sequence < record.sequence) {
      if (report.server === record.reportedName) return;
    }
    record.isReported = true;
    record.sequence = report.sequence;
    record.reportedName = report.server;
    this.#recordSignal(record, {
      kind: "own_word",
      isLeaving: report.isLeaving,
    });
    record.versions = new Set(
      report.versions.filter((item) => item.state === "loaded")
        .map((item) => item.version),
    );
    record.report = {
      runningCount: report.runningCount,
      queuedCount: report.queuedCount,
      slotCount: report.slotCount,
      ownInFlightCount: record.inFlightCount,
      readAtMs: this.#options.clock(),
    };
  }

  /**
   * Records a failed poll. It counts against the server's health only if the
   * server has reported before.
   */
  recordFailedPoll(server: string): void {
    const record = this.#records.get(server);
    if (record === undefined) return;
    record.lastCheckedAtMs = this.#options.clock();
    if (!record.isReported) return;
    this.#recordSignal(record, { kind: "probe", isAnswered: false });
  }

  /** Marks a server that reported its shutdown; it gets no new work. */
  markLeaving(server: string): void {
    const record = this.#records.get(server);
    if (record === undefined) return;
    this.#recordSignal(record, { kind: "own_word", isLeaving: true });
  }

  /** Returns the servers not checked for `ageMs`, longest unchecked first. */
  dueForPoll(ageMs: number): Vm[] {
    this.#refresh();
    const beforeMs = this.#options.clock() - ageMs;
    const records = [...this.#subsets.keys()].flatMap((service) =>
      this.#subsetOf(service)
    );
    return records
      .filter((record) => record.lastCheckedAtMs <= beforeMs)
      .sort((a, b) => a.lastCheckedAtMs - b.lastCheckedAtMs)
      .map((record) => record.vm);
  }

  /** Sum of the slots that a service's servers have reported. */
  slotCount(service: string): number {
    let count = 0;
    for (const record of this.#subsetOf(service)) {
      count += record.report?.slotCount ?? 0;
    }
    return count;
  }

  /**
   * Whether each server of a service has answered or failed a poll. Until then
   * a loaded version may be missing from the reports. The first call makes the
   * service's servers due for polls.
   */
  hasPolledAll(service: string): boolean {
    return this.#subsetOf(service).every((record) =>
      record.lastCheckedAtMs > -Infinity
    );
  }

  #recordSignal(record: ServerRecord, signal: ServerSignal): void {
    record.signals = recordSignal(
      record.signals,
      signal,
      this.#options.clock(),
    );
  }

  #markProbeSent(record: ServerRecord): void {
    record.breaker = applyBreaker(
      record.breaker,
      "probe_sent",
      this.#breakerOptions(),
    );
  }

  #breakerOptions(): { nowMs: number; limits: BreakerLimits } {
    return {
      nowMs: this.#options.clock(),
      limits: this.#options.breakerLimits ?? DEFAULT_BREAKER_LIMITS,
    };
  }

  #subsetOf(service: string): readonly ServerRecord[] {
    this.#refresh();
    const cached = this.#subsets.get(service);
    if (cached !== undefined) return cached;
    const chosen = chooseSubset({
      self: this.#options.self,
      servers: this.#vms.filter((vm) =>
        vm.kind !== "entry" && vm.service === service
      ),
      vmCountOf: (place) =>
        this.#vms.filter((vm) => vm.kind === "entry" && vm.place === place)
          .length,
      places: this.#options.places,
      limits: this.#options.subsetLimits ?? DEFAULT_SUBSET_LIMITS,
    });
    const records = chosen.flatMap((vm) => this.#records.get(vm.vm) ?? []);
    this.#subsets.set(service, records);
    return records;
  }

  #refresh(): void {
    const vms = this.#options.source.vms();
    if (vms === this.#vms) return;
    this.#vms = vms;
    const services = [...this.#subsets.keys()];
    this.#subsets = new Map();
    const names = new Set<string>();
    for (const vm of vms) {
      if (vm.kind === "entry") continue;
      names.add(vm.vm);
      this.#updateRecord(vm);
    }
    for (const name of this.#records.keys()) {
      if (!names.has(name)) this.#records.delete(name);
    }
    for (const service of services) this.#subsetOf(service);
  }

  #updateRecord(vm: Vm): void {
    const current = this.#records.get(vm.vm);
    if (current !== undefined && current.vm.address === vm.address) {
      current.vm = vm;
      this.#recordSignal(current, { kind: "list", status: vm.status });
      return;
    }
    const priors = {
      breaker: CLOSED_BREAKER,
      slowness: NEUTRAL_SLOWNESS,
      serviceMs: this.#options.priorServiceMs,
    };
    const record = createServerRecord(vm, priors);
    this.#records.set(vm.vm, record);
    this.#recordSignal(record, { kind: "list", status: vm.status });
  }
}
