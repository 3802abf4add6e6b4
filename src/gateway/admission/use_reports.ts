/**
 * What VMs report to each other of the workspaces' use of services under
 * pressure. A VM sends its own use to its store reader; a reader sends the sum of
 * its data centre to other readers, and the sum of all but the receiver to its
 * VMs. So a message has the same size whatever the number of VMs.
 */
import { type SharedUse, sumUse } from "../../decision/mod.ts";
import { type Clock } from "../../model/mod.ts";

/** What a report sums: one VM, a data centre, or all VMs but the receiver. */
export const USE_SCOPES = ["vm", "place", "rest"] as const;

export type UseScope = typeof USE_SCOPES[number];

/** The use of services as sent to another VM. */
export interface UseReport {
  readonly scope: UseScope;
  /** Mean age of what is summed. */
  readonly ageMs: number;
  readonly services: readonly SharedUse[];
}

/** The parts of sender and receiver in the exchange. */
export interface ReportWay {
  readonly receiver: string;
  readonly isSenderReader: boolean;
  readonly isReceiverReader: boolean;
}

interface HeldReport extends UseReport {
  readonly teller: string;
  readonly atMs: number;
}

/** Bounds a message, whatever the number of services. */
export const MAX_SHARED_SERVICES = 4;
/** Older reports count as unknown. */
const MAX_AGE_MS = 2000;
/** VMs of a data centre and readers whose reports are held. */
const MAX_HELD_COUNT = 512;

export class UseReports {
  readonly #clock: Clock;
  readonly #held = new Map<string, HeldReport>();

  constructor(options: { readonly clock: Clock }) {
    this.#clock = options.clock;
  }

  /** Takes a report of another VM. */
  merge(teller: string, report: UseReport | undefined): void {
    if (report === undefined) return;
    const atMs = this.#clock() - report.ageMs;
    // Two sums of all VMs would count each VM twice.
    const key = report.scope === "rest" ? "rest" : teller;
    this.#held.delete(key);
    this.#held.set(key, { ...report, teller, atMs });
    if (this.#held.size <= MAX_HELD_COUNT) return;
    const [oldest] = this.#held.keys();
    if (oldest !== undefined) this.#held.delete(oldest);
  }

  /** What the other VMs use of a service; undefined without recent reports. */
  othersOf(service: string): SharedUse | undefined {
    if (this.#held.size === 0) return undefined;
    const rest = this.#held.get("rest");
    const reports = rest !== undefined && this.#isRecent(rest)
      ? [rest]
      : this.#recent(["vm", "place"]);
    const uses = reports.flatMap(({ services }) => services)
      .filter((use) => use.service === service);
    return uses.length === 0 ? undefined : sumUse(service, uses);
  }

  /** Returns the report for a receiver; undefined if there is nothing to say. */
  toShare(own: readonly SharedUse[], way: ReportWay): UseReport | undefined {
    const held = this.#heldFor(way);
    const uses = [...own, ...held.flatMap(({ services }) => services)];
    if (uses.length === 0) return undefined;
    const names = new Set(uses.map(({ service }) => service));
    const services = [...names].map((name) => sumUse(name, uses))
      .sort((a, b) => b.waitingCount - a.waitingCount)
      .slice(0, MAX_SHARED_SERVICES);
    const nowMs = this.#clock();
    let ageSumMs = 0;
    for (const { atMs } of held) ageSumMs += nowMs - atMs;
    const count = held.length + (own.length > 0 ? 1 : 0);
    const ageMs = Math.round(Math.max(0, ageSumMs / Math.max(1, count)));
    return { scope: scopeOf(way), ageMs, services };
  }

  #heldFor(way: ReportWay): HeldReport[] {
    if (!way.isSenderReader) return [];
    if (way.isReceiverReader) return this.#recent(["vm"]);
    return this.#recent(["vm", "place"]).filter(({ teller }) =>
      !teller.startsWith(`${way.receiver}#`)
    );
  }

  #recent(scopes: readonly UseScope[]): HeldReport[] {
    return [...this.#held.values()].filter((report) =>
      scopes.includes(report.scope) && this.#isRecent(report)
    );
  }

  #isRecent({ atMs }: HeldReport): boolean {
    return this.#clock() - atMs <= MAX_AGE_MS;
  }
}

function scopeOf({ isSenderReader, isReceiverReader }: ReportWay): UseScope {
  if (!isSenderReader) return "vm";
  return isReceiverReader ? "place" : "rest";
}
