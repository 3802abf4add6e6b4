/**
 * Leases between processes whose clocks are never compared. The holder computes
 * its deadline from a time before it appended the record. Other processes
 * wait for the lease duration plus a margin from the time they read the record,
 * which is later. The fencing number is the position of the acquisition, so it
 * increases with each holder.
 */
import { type Lease, type Position, START_POSITION } from "../state/mod.ts";

/** Time that other processes wait after a lease has expired on their clock. */
export const LEASE_MARGIN_MS = 1000;

/** The newest lease record that a process has read, on its own clock. */
export interface LeaseView {
  readonly lease: Lease | undefined;
  /** Time at which this process first read the newest record. */
  readonly readAtMs: number;
}

/** A lease that this process holds. */
export interface HeldLease {
  readonly fence: Position;
  /** The holder gives no orders after this time. */
  readonly untilMs: number;
}

/** View before any record has been read. */
export const UNREAD_LEASE: LeaseView = {
  lease: undefined,
  readAtMs: -Infinity,
};

/** Returns the view after the state has been read again. */
export function observeLease(
  view: LeaseView,
  lease: Lease | undefined,
  nowMs: number,
): LeaseView {
  if (view.lease?.position === lease?.position) return view;
  return { lease, readAtMs: nowMs };
}

/** Whether the process may try to acquire or renew the lease now. */
export function mayAcquire(
  view: LeaseView,
  options: { readonly holder: string; readonly nowMs: number },
): boolean {
  const { lease, readAtMs } = view;
  if (lease === undefined || lease.isReleased) return true;
  if (lease.holder === options.holder) return true;
  return options.nowMs >= readAtMs + lease.ttlMs + LEASE_MARGIN_MS;
}

/** Position that an acquisition or renewal names as its predecessor. */
export function precedingPosition(view: LeaseView): Position {
  return view.lease?.position ?? START_POSITION;
}

/** Returns the lease held after an append that began at `startedMs`, if any. */
export function heldLeaseOf(
  lease: Lease | undefined,
  options: {
    readonly holder: string;
    readonly preceding: Position;
    readonly startedMs: number;
  },
): HeldLease | undefined {
  if (lease === undefined || lease.isReleased) return undefined;
  if (lease.holder !== options.holder) return undefined;
  if (lease.position <= options.preceding) return undefined;
  return { fence: lease.fence, untilMs: options.startedMs + lease.ttlMs };
}

/** Whether a held lease is valid by this process's clock and the state. */
export function isLeaseValid(
  held: HeldLease | undefined,
  options: {
    readonly lease: Lease | undefined;
    readonly holder: string;
    readonly nowMs: number;
  },
): boolean {
  if (held === undefined || options.nowMs >= held.untilMs) return false;
  const { lease } = options;
  if (lease === undefined || lease.isReleased) return false;
  return lease.holder === options.holder && lease.fence === held.fence;
}
