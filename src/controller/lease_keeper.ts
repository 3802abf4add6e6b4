/**
 * Manages one lease for one process: acquires it when it is free, renews it
 * well before it expires, and checks whether it is currently valid. The
 * holder's name must be unique to the process instance, so that a restarted
 * process never mistakes the lease of its previous instance for its own.
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

/** Options of a lease keeper. */
export interface LeaseKeeperOptions {
  readonly name: string;
  readonly holder: string;
  readonly ttlMs: number;
  readonly journal: Journal;
  readonly clock: Clock;
  readonly appendTimeoutMs: number;
}

/** Share of the lease's duration after which it is renewed. */
const RENEW_AFTER_SHARE = 1 / 3;

/** Acquires, renews and releases a lease for one process. */
export class LeaseKeeper {
  readonly #options: LeaseKeeperOptions;
  #view: LeaseView = UNREAD_LEASE;
  #held: HeldLease | undefined;
  #acquiredAtMs = -Infinity;

  constructor(options: LeaseKeeperOptions) {
    this.#options = options;
  }

  /** The fencing number; `undefined` unless the lease is valid. */
  get fence(): Position | undefined {
    return this.isValid() ? this.#held?.fence : undefined;
  }

  /** Time since this process acquired the lease; infinite before that. */
  get heldForMs(): number {
    return this.#options.clock() - this.#acquiredAtMs;
  }

  /** Whether this process holds the lease now; check again after each wait. */
  isValid(): boolean {
    const { holder, clock } = this.#options;
    const lease = this.#lease();
    return isLeaseValid(this.#held, { lease, holder, nowMs: clock() });
  }

  /**
   * Acquires the lease if it is free, or renews it if that is due. Returns
   * whether the lease is valid.
   */
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

  /** Releases the lease, so that others need not wait until it expires. */
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
    const preceding = precedingPosition(this.#view);
    const startedMs = clock();
    const record = this.#recordAfter(preceding);
    await journal.append(record, "", { timeoutMs: appendTimeoutMs });
    const lease = this.#lease();
    this.#view = observeLease(this.#view, lease, clock());
    const previous = this.#held;
    this.#held = heldLeaseOf(lease, {
      holder,
      preceding,
      startedMs,
    });
    if (this.#held === undefined) return;
    if (previous?.fence !== this.#held.fence) this.#acquiredAtMs = clock();
  }

  #recordAfter(preceding: Position): RecordOf<"lease"> {
    const { name, holder, ttlMs } = this.#options;
    return {
      kind: "lease",
      id: `lease-${holder}-${preceding}`,
      name,
      holder,
      ttlMs,
      after: preceding,
    };
  }

  #isRenewalDue(): boolean {
    if (this.#held === undefined) return true;
    const { clock, ttlMs } = this.#options;
    const remainingMs = this.#held.untilMs - clock();
    return remainingMs < ttlMs * (1 - RENEW_AFTER_SHARE);
  }

  #lease(): Lease | undefined {
    return this.#options.journal.control().leases.get(this.#options.name);
  }
}
