/**
 * Leases between processes whose clocks are never compared. A holder counts its
 * deadline from before it appended the record; the others count the lease and a
 * margin from when they read it, which is later. The fencing number is the
 * position of the acquisition and grows with each holder.
 */
import { type Lease, type Position, START_POSITION } from "../state/mod.ts";

/** Extra time that others wait after a lease has run out by their clock. */
export const LEASE_MARGIN_MS = 1000;

/** What one process has seen of a lease, on its own clock. */
export interface LeaseView {
  readonly lease: Lease | undefined;
  /** When this process first read the newest record. */
  readonly readAtMs: number;
}

/** A lease that this process holds. */
export interface HeldLease {
  readonly fence: Position;
  /** No order is given after this time. */
  readonly untilMs: number;
}

/** A lease of which nothing has been read. */
export const UNREAD_LEASE: LeaseView = {
  lease: undefined,
  readAtMs: -Infinity,
};

/** The view after reading the state again. */
export function observeLease(
  view: LeaseView,
  lease: Lease | undefined,
  nowMs: number,
): LeaseView {
  if (view.lease?.position === lease?.position) return view;
  return { lease, readAtMs: nowMs };
}

/** Whether the holder may try to acquire or renew now. */
export function mayAcquire(
  view: LeaseView,
  options: { readonly holder: string; readonly nowMs: number },
): boolean {
  const { lease, readAtMs } = view;
  if (lease === undefined || lease.isReleased) return true;
  if (lease.holder === options.holder) return true;
  return options.nowMs >= readAtMs + lease.ttlMs + LEASE_MARGIN_MS;
}

/** The position that an acquisition or renewal has to follow. */
export function precedingPosition(view: LeaseView): Position {
  return view.lease?.position ?? START_POSITION;
}

/** The lease held after an append that was begun at `startedMs`. */
export function heldLeaseOf(
  lease: Lease | undefined,
  options: {
    readonly holder: string;
    readonly followed: Position;
    readonly startedMs: number;
  },
): HeldLease | undefined {
  if (lease === undefined || lease.isReleased) return undefined;
  if (lease.holder !== options.holder) return undefined;
  if (lease.position <= options.followed) return undefined;
  return { fence: lease.fence, untilMs: options.startedMs + lease.ttlMs };
}

/** Whether a held lease still stands, by own clock and by the newest state. */
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
