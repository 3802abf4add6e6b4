/**
 * Keeps one lease for one process: acquires it when it is free, renews it well
 * before its deadline, and answers whether it stands right now. The holder's
 * name must be new at each start of the process, so that a restarted process
 * never takes an earlier one's lease for its own.
 */
import {
  type HeldLease,
  heldLeaseOf,
  isLeaseValid,
  type LeaseView,
  mayAcquire,
  observeLease,
  precedingPosition,
  UNREAD_LEASE,
} from "../decision/lease.ts";
import { type Clock } from "../model/mod.ts";
import { type Journal } from "../client/journal.ts";
import { type Lease, type Position, type RecordOf } from "../state/mod.ts";

/** What a lease is kept with. */
export interface LeaseKeeperOptions {
  readonly name: string;
  readonly holder: string;
  readonly ttlMs: number;
  readonly journal: Journal;
  readonly clock: Clock;
  readonly appendTimeoutMs: number;
}

/** Share of the lease's time after which it is renewed. */
const RENEW_AFTER_SHARE = 1 / 3;

/** One process's side of a lease. */
export class LeaseKeeper {
  readonly #options: LeaseKeeperOptions;
  #view: LeaseView = UNREAD_LEASE;
  #held: HeldLease | undefined;
  #acquiredAtMs = -Infinity;

  constructor(options: LeaseKeeperOptions) {
    this.#options = options;
  }

  /** The fencing number, while the lease stands. */
  get fence(): Position | undefined {
    return this.isValid() ? this.#held?.fence : undefined;
  }

  /** Time since this process became the holder. */
  get heldForMs(): number {
    return this.#options.clock() - this.#acquiredAtMs;
  }

  /** Whether the lease stands now; asked again after each wait. */
  isValid(): boolean {
    const { holder, clock } = this.#options;
    const lease = this.#lease();
    return isLeaseValid(this.#held, { lease, holder, nowMs: clock() });
  }

  /** Acquires or renews the lease where that is due and allowed. */
  async acquireOrRenew(): Promise<boolean> {
    const { clock, holder } = this.#options;
    this.#view = observeLease(this.#view, this.#lease(), clock());
    if (this.isValid() && !this.#isRenewalDue()) return true;
    if (!mayAcquire(this.#view, { holder, nowMs: clock() })) {
      this.#held = undefined;
      return false;
    }
    await this.#append();
    return this.isValid();
  }

  /** Gives the lease up, so that others need not wait for its end. */
  async release(): Promise<void> {
    const lease = this.#lease();
    if (!this.isValid() || lease === undefined) return;
    this.#held = undefined;
    const { name, holder, journal, appendTimeoutMs } = this.#options;
    await journal.append(
      {
        kind: "lease_release",
        id: `release-${holder}-${lease.position}`,
        name,
        holder,
        after: lease.position,
      },
      "",
      { timeoutMs: appendTimeoutMs },
    );
  }

  async #append(): Promise<void> {
    const { journal, clock, holder, appendTimeoutMs } = this.#options;
    const followed = precedingPosition(this.#view);
    const startedMs = clock();
    const record = this.#recordAfter(followed);
    await journal.append(record, "", { timeoutMs: appendTimeoutMs });
    const lease = this.#lease();
    this.#view = observeLease(this.#view, lease, clock());
    const before = this.#held;
    this.#held = heldLeaseOf(lease, { holder, followed, startedMs });
    if (this.#held === undefined) return;
    if (before?.fence !== this.#held.fence) this.#acquiredAtMs = clock();
  }

  #recordAfter(followed: Position): RecordOf<"lease"> {
    const { name, holder, ttlMs } = this.#options;
    return {
      kind: "lease",
      id: `lease-${holder}-${followed}`,
      name,
      holder,
      ttlMs,
      after: followed,
    };
  }

  #isRenewalDue(): boolean {
    if (this.#held === undefined) return true;
    const { clock, ttlMs } = this.#options;
    const leftMs = this.#held.untilMs - clock();
    return leftMs < ttlMs * (1 - RENEW_AFTER_SHARE);
  }

  #lease(): Lease | undefined {
    return this.#options.journal.control().leases.get(this.#options.name);
  }
}
