/**
 * Admission of this VM's requests: one queue for each service and set of allowed
 * regions. A VM that reaches no server, brittle servers, and a service without an
 * open server are no matter of admission: other rules relay or refuse.
 */
import { type SharedUse } from "../../decision/mod.ts";
import { type Clock, type Random } from "../../model/mod.ts";
import {
  type AdmissionListeners,
  type AdmissionTicket,
  type ForwardContext,
  type ForwardRequest,
} from "../forwarding/forward_context.ts";
import { ServiceQueue } from "./service_queue.ts";
import { type ReportWay, type UseReport, UseReports } from "./use_reports.ts";

export interface AdmissionGateOptions {
  readonly clock: Clock;
  readonly random: Random;
}

const NO_TICKET: AdmissionTicket = { waitedMs: () => 0, end: () => {} };

export class AdmissionGate {
  readonly #options: AdmissionGateOptions;
  readonly #queues = new Map<string, ServiceQueue>();
  readonly #reports: UseReports;

  constructor(options: AdmissionGateOptions) {
    this.#options = options;
    this.#reports = new UseReports(options);
  }

  /** Starts, refuses or queues a request. */
  enter(
    context: ForwardContext,
    request: ForwardRequest,
    listeners: AdmissionListeners,
  ): AdmissionTicket {
    const { brittleness, reach } = context;
    const refusals = brittleness.refusalsPerSecondOf(request.service);
    // The permits of brittle servers keep their own queues and refusals.
    if (reach.isCutOff || refusals !== undefined) {
      listeners.onStart();
      return NO_TICKET;
    }
    return this.#queueFor(request).enter(context, request, listeners);
  }

  /** Takes another VM's report. */
  merge(teller: string, report: UseReport | undefined): void {
    this.#reports.merge(teller, report);
  }

  /** Returns the report for another VM; undefined while nothing presses. */
  toShare(way: ReportWay): UseReport | undefined {
    const own: SharedUse[] = [];
    for (const queue of this.#queues.values()) {
      const use = queue.toShare();
      if (use !== undefined) own.push(use);
    }
    return this.#reports.toShare(own, way);
  }

  #queueFor({ service, permittedRegions }: ForwardRequest): ServiceQueue {
    const key = permittedRegions === undefined
      ? service
      : `${service} ${[...permittedRegions].sort().join(" ")}`;
    const known = this.#queues.get(key);
    if (known !== undefined) return known;
    const queue = new ServiceQueue({
      ...this.#options,
      key,
      others: () => this.#reports.othersOf(key),
    });
    this.#queues.set(key, queue);
    return queue;
  }
}
