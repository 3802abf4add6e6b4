/**
 * Divides the rate of requests to a backend server among the VMs. Each VM
 * computes its share from the VMs that it knows, and no request waits for
 * another VM. Only as many VMs have a share as the limit allows requests at
 * once, as a share of less than one request can't be used. VMs of the server's
 * place come first, then a hash of server and VM decides, so VMs with the same
 * view name the same ones, and each VM that only some know adds at most one.
 *
 * A VM that has just started may not know the others yet, and the lease of a
 * share that it lent before it ended may still run. It counts as a stranger: its
 * share is small, and what all VMs send together stays within the margin that
 * each kind of limit leaves for differing views.
 */
import { hash32 } from "../model/mod.ts";

/** A VM that may use a server. */
export interface LimitedVm {
  readonly vm: string;
  readonly place: string;
}

/** A server as far as the division of its limits goes. */
export interface LimitedServer {
  readonly id: string;
  readonly place: string;
}

/** What all VMs together may send. */
export interface DividedLimit {
  readonly perSecond: number;
  /** Requests that may follow each other at once after a pause. */
  readonly burstCount: number;
  /** VMs that may have a share. */
  readonly maxVmCount: number;
}

/** The part of a limit that one VM may use. */
export interface LimitShare {
  readonly perSecond: number;
  /** Requests that may follow each other at once after a pause. */
  readonly burstCount: number;
}

/** Tokens for requests to one server; immutable. */
export interface LimitBucket {
  readonly tokenCount: number;
  readonly updatedAtMs: number;
}

/** This VM and the others that it knows. */
export interface LimitedVms {
  readonly self: LimitedVm;
  /** `undefined` while this VM may not know them. */
  readonly others: readonly LimitedVm[] | undefined;
}

/** The share of a VM that may not use the server. */
export const NO_SHARE: LimitShare = { perSecond: 0, burstCount: 0 };
/** A VM that may not know the others tries a server this often. */
const STRANGER_PER_SECOND = 0.25;
const SECOND_MS = 1000;

/** Returns the share of this VM. */
export function shareOf(
  limitFor: (memberCount: number) => DividedLimit,
  { server, self, others }: LimitedVms & { readonly server: LimitedServer },
): LimitShare {
  if (others === undefined) return strangerShare(limitFor(1));
  const memberCount = 1 + others.length;
  const { perSecond, burstCount, maxVmCount } = limitFor(memberCount);
  const vmCount = Math.min(memberCount, Math.max(1, maxVmCount));
  let rank = 0;
  for (const other of others) {
    if (compareRanks(other, self, server) < 0) rank += 1;
    if (rank >= vmCount) return NO_SHARE;
  }
  return { perSecond: perSecond / vmCount, burstCount: burstCount / vmCount };
}

/** Returns an empty bucket, for a server whose limit has become known. */
export function emptyBucket(nowMs: number): LimitBucket {
  return { tokenCount: 0, updatedAtMs: nowMs };
}

/** Returns the bucket with the tokens gained since its last update. */
export function refillBucket(
  { tokenCount, updatedAtMs }: LimitBucket,
  { share, nowMs }: { readonly share: LimitShare; readonly nowMs: number },
): LimitBucket {
  const gained = share.perSecond * (nowMs - updatedAtMs) / SECOND_MS;
  return {
    tokenCount: Math.min(share.burstCount, tokenCount + gained),
    updatedAtMs: nowMs,
  };
}

/** Returns the bucket after one request, which may leave it in debt. */
export function takeToken(bucket: LimitBucket): LimitBucket {
  return { ...bucket, tokenCount: bucket.tokenCount - 1 };
}

/** Returns the bucket after the end of a request that did not arrive. */
export function giveBackToken(bucket: LimitBucket): LimitBucket {
  return { ...bucket, tokenCount: bucket.tokenCount + 1 };
}

/** Returns the time until the next token; Infinity without a share. */
export function timeToTokenMs(
  { tokenCount }: LimitBucket,
  { perSecond }: LimitShare,
): number {
  if (tokenCount >= 1) return 0;
  return (1 - tokenCount) / perSecond * SECOND_MS;
}

function strangerShare({ perSecond }: DividedLimit): LimitShare {
  return {
    perSecond: Math.min(STRANGER_PER_SECOND, perSecond),
    burstCount: 1,
  };
}

function compareRanks(
  a: LimitedVm,
  b: LimitedVm,
  server: LimitedServer,
): number {
  const isNearA = a.place === server.place;
  const isNearB = b.place === server.place;
  if (isNearA !== isNearB) return isNearA ? -1 : 1;
  return hash32(`${server.id} ${a.vm}`) - hash32(`${server.id} ${b.vm}`) ||
    (a.vm < b.vm ? -1 : 1);
}
