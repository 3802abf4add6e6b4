/**
 * The backend servers that this VM works with: rows of the VM list, cut to a
 * subset by service, each with the newest load report, own work in flight,
 * breaker and smoothed latencies. Reports come with answers and, for servers
 * that answer nothing, by polling; each carries the time it was read.
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

/** The rows of the platform's VM list, as last read. */
export interface VmSource {
  vms(): readonly Vm[];
  ageMs(): number;
}

/** What a directory is made of. */
export interface ServerDirectoryOptions {
  /** Name of this VM. */
  readonly self: string;
  readonly source: VmSource;
  /** Places from near to far, this VM's own first. */
  readonly places: readonly string[];
  readonly clock: Clock;
  readonly drains: () => Drains;
  readonly priorFirstTokenMs: number;
  readonly priorServiceMs: number;
  readonly breakerLimits?: BreakerLimits;
  readonly subsetLimits?: SubsetLimits;
}

/** Work of this VM on one server, until it is finished. */
export interface ServerUse {
  /** Ends the use; a second call changes nothing. */
  finish(result: UseResult): void;
}

/** Backend servers and what is known of them. */
export class ServerDirectory {
  readonly #options: ServerDirectoryOptions;
  readonly #expectations: DurationEstimates;
  readonly #records = new Map<string, ServerRecord>();
  #vms: readonly Vm[] = [];
  #subsets = new Map<string, readonly ServerRecord[]>();

  constructor(options: ServerDirectoryOptions) {
    this.#options = options;
    this.#expectations = new DurationEstimates({
      firstTokenMs: options.priorFirstTokenMs,
      serviceMs: options.priorServiceMs,
    });
  }

  /** The servers of a service that this VM works with, for a kind of work. */
  views(service: string, work: string): ServerView[] {
    const options = {
      drains: this.#options.drains(),
      expected: this.#expectations.of(work),
      nowMs: this.#options.clock(),
    };
    return this.#subsetOf(service).map((record) => toView(record, options));
  }

  /** The address of a server, while the VM list names it. */
  addressOf(server: string): string | undefined {
    return this.#records.get(server)?.vm.address;
  }

  /** Counts work of a kind on a server from now until its end. */
  begin(server: string, work: string): ServerUse {
    const record = this.#records.get(server);
    if (record === undefined) return { finish: () => {} };
    const nowMs = this.#options.clock();
    record.inFlightCount += 1;
    record.firstUsedAtMs ??= nowMs;
    if (record.breaker.phase !== "closed") this.#probe(record);
    let isOpen = true;
    return {
      finish: (result) => {
        if (!isOpen) return;
        isOpen = false;
        const expected = this.#expectations.of(work);
        recordUse(record, result, { ...this.#breakerOptions(), expected });
        if (result.verdict === "success") {
          this.#expectations.record(work, result);
        }
      },
    };
  }

  /** Takes a server's report, from an answer or a poll, if there was one. */
  recordReport(server: string, report: ServerReport | undefined): void {
    const record = this.#records.get(server);
    if (record === undefined) return;
    record.lastCheckedAtMs = this.#options.clock();
    if (report === undefined) return;
    this.#see(record, { kind: "probe", isAnswered: true });
    if (record.isReported && report.sequence < record.sequence) {
      if (report.server === record.reportedName) return;
    }
    record.isReported = true;
    record.sequence = report.sequence;
    record.reportedName = report.server;
    this.#see(record, { kind: "own_word", isLeaving: report.isLeaving });
    record.versions = new Set(
      report.versions.filter((one) => one.state === "loaded")
        .map((one) => one.version),
    );
    record.report = {
      runningCount: report.runningCount,
      queuedCount: report.queuedCount,
      slotCount: report.slotCount,
      ownInFlightCount: record.inFlightCount,
      readAtMs: this.#options.clock(),
    };
  }

  /** Takes a poll that was not answered by a server that reported before. */
  recordFailedPoll(server: string): void {
    const record = this.#records.get(server);
    if (record === undefined) return;
    record.lastCheckedAtMs = this.#options.clock();
    if (!record.isReported) return;
    this.#see(record, { kind: "probe", isAnswered: false });
  }

  /** Marks a server that says it leaves; it receives no new work. */
  markLeaving(server: string): void {
    const record = this.#records.get(server);
    if (record === undefined) return;
    this.#see(record, { kind: "own_word", isLeaving: true });
  }

  /** Servers that were not heard or asked for `ageMs`, longest first. */
  dueForPoll(ageMs: number): Vm[] {
    this.#refresh();
    const beforeMs = this.#options.clock() - ageMs;
    const known = [...this.#subsets.keys()].flatMap((service) =>
      this.#subsetOf(service)
    );
    return known
      .filter((one) => one.lastCheckedAtMs <= beforeMs)
      .sort((a, b) => a.lastCheckedAtMs - b.lastCheckedAtMs)
      .map((one) => one.vm);
  }

  /** The slots of a service's servers, as far as they are known. */
  slotCount(service: string): number {
    let count = 0;
    for (const record of this.#subsetOf(service)) {
      count += record.report?.slotCount ?? 0;
    }
    return count;
  }

  /**
   * Whether each server of a service has reported or was asked in vain; before
   * that a version may be loaded that nobody knows of. Starts the asking.
   */
  hasPolledAll(service: string): boolean {
    return this.#subsetOf(service).every((one) =>
      one.lastCheckedAtMs > -Infinity
    );
  }

  #see(record: ServerRecord, sign: ServerSignal): void {
    record.signs = recordSignal(record.signs, sign, this.#options.clock());
  }

  #probe(record: ServerRecord): void {
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
    const known = this.#subsets.get(service);
    if (known !== undefined) return known;
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
      this.#place(vm);
    }
    for (const name of this.#records.keys()) {
      if (!names.has(name)) this.#records.delete(name);
    }
    for (const service of services) this.#subsetOf(service);
  }

  #place(vm: Vm): void {
    const known = this.#records.get(vm.vm);
    if (known !== undefined && known.vm.address === vm.address) {
      known.vm = vm;
      this.#see(known, { kind: "list", status: vm.status });
      return;
    }
    const priors = {
      breaker: CLOSED_BREAKER,
      slowness: NEUTRAL_SLOWNESS,
      serviceMs: this.#options.priorServiceMs,
    };
    const record = createServerRecord(vm, priors);
    this.#records.set(vm.vm, record);
    this.#see(record, { kind: "list", status: vm.status });
  }
}
