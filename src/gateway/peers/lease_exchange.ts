/**
 * Borrows shares of divided limits from the VMs that have them, where this VM
 * lacks tokens, and lends its own. A VM asks few others in a period, however
 * many servers and VMs there are.
 */
import { type Clock, type Logger, type Sleep } from "../../model/mod.ts";
import { type PeerNode } from "../../wire/mod.ts";
import { type LentShare, type WantedShare } from "../servers/divided_uses.ts";
import {
  LEASE_KINDS,
  type LeaseAnswer,
  type LeaseAsk,
  type LeaseKind,
  MAX_LEASES,
  parseLeaseAnswer,
  parseLeaseAsk,
} from "./lease_message.ts";

/** The divided limits of one kind. */
export interface LeaseSide {
  readonly wantedShares: () => WantedShare[];
  /** Returns the requests a second that are lent, if any. */
  readonly lendShare: (id: string, borrower: string) => number | undefined;
  readonly borrowShare: (id: string, lent: LentShare) => void;
}

export interface LeaseExchangeOptions {
  readonly node: () => Pick<PeerNode, "query">;
  readonly sides: Readonly<Record<LeaseKind, LeaseSide>>;
  readonly clock: Clock;
  readonly sleep: Sleep;
  readonly logger: Logger;
}

const PERIOD_MS = 250;
/** VMs asked in a period. */
const MAX_ASKED_VMS = 2;
const ANSWER_TIMEOUT_MS = 500;
/** A VM that does not lend its share is asked for it again after this time. */
const REFUSED_MS = 1000;
/** A VM whose build lends no shares is asked again after this time. */
const UNSUPPORTED_MS = 300_000;

export class LeaseExchange {
  readonly #options: LeaseExchangeOptions;
  /** By VM, or by VM and share: until when it is not asked. */
  readonly #quietUntilMs = new Map<string, number>();

  constructor(options: LeaseExchangeOptions) {
    this.#options = options;
  }

  /** Asks for shares periodically until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.borrow();
      await this.#options.sleep(PERIOD_MS, signal);
    }
  }

  /** Asks a few VMs for the shares that this VM needs. */
  async borrow(): Promise<void> {
    const asks = this.#asks();
    await Promise.all(
      [...asks].map(([vm, leaseAsk]) => this.#ask(vm, { leaseAsk })),
    );
  }

  /** Returns the answer to another VM's request; undefined if it is none. */
  answer(vm: string, value: unknown): LeaseAnswer | undefined {
    const ask = parseLeaseAsk(value);
    if (ask === undefined) return undefined;
    const leases: LeaseAnswer["leases"] = [];
    for (const [kind, id] of ask.leaseAsk) {
      const perSecond = this.#options.sides[kind].lendShare(id, vm);
      if (perSecond !== undefined) leases.push([kind, id, perSecond]);
    }
    return { leases };
  }

  #asks(): Map<string, LeaseAsk["leaseAsk"]> {
    const nowMs = this.#options.clock();
    for (const [key, untilMs] of this.#quietUntilMs) {
      if (untilMs <= nowMs) this.#quietUntilMs.delete(key);
    }
    const asks = new Map<string, LeaseAsk["leaseAsk"]>();
    for (const kind of LEASE_KINDS) {
      for (const { id, lenders } of this.#options.sides[kind].wantedShares()) {
        for (const vm of lenders) {
          if (this.#quietUntilMs.has(vm)) continue;
          if (this.#quietUntilMs.has(quietKeyOf(vm, { kind, id }))) continue;
          const ask = asks.get(vm) ?? [];
          if (ask.length >= MAX_LEASES) continue;
          if (ask.length === 0 && asks.size >= MAX_ASKED_VMS) continue;
          asks.set(vm, [...ask, [kind, id]]);
        }
      }
    }
    return asks;
  }

  async #ask(vm: string, ask: LeaseAsk): Promise<void> {
    const { node, sides, clock, logger } = this.#options;
    const askedAtMs = clock();
    const answer = await node().query(
      vm,
      { kind: "exchange", news: ask },
      { timeoutMs: ANSWER_TIMEOUT_MS },
    );
    const nowMs = clock();
    if (answer.isErr() || answer.value.kind !== "exchanged") {
      this.#quietUntilMs.set(vm, nowMs + REFUSED_MS);
      return;
    }
    const leases = parseLeaseAnswer(answer.value.news)?.leases;
    if (leases === undefined) {
      this.#quietUntilMs.set(vm, nowMs + UNSUPPORTED_MS);
      logger.info("no leases from member", { member: vm });
      return;
    }
    for (const [kind, id] of ask.leaseAsk) {
      const lent = leases.find((lease) => lease[0] === kind && lease[1] === id);
      if (lent !== undefined) {
        const perSecond = lent[2];
        sides[kind].borrowShare(id, { lender: vm, perSecond, askedAtMs });
      } else {
        const key = quietKeyOf(vm, { kind, id });
        this.#quietUntilMs.set(key, nowMs + REFUSED_MS);
      }
    }
  }
}

function quietKeyOf(
  vm: string,
  { kind, id }: { readonly kind: LeaseKind; readonly id: string },
): string {
  return `${vm} ${kind} ${id}`;
}
