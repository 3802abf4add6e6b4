/**
 * Divides the request limit of a backend server among the VMs. A server takes
 * the named number of requests a second from all VMs together. Each VM computes
 * from the members it knows which few of them may use the server, and takes its
 * part of the limit by a token bucket, so no request waits for another VM. The
 * sum over these VMs stays below the limit plus a short burst; the difference
 * to what the platform tolerates covers views of the members that differ.
 */
import { hash32 } from "../model/mod.ts";

/** A VM that may use a server. */
export interface LimitedVm {
  readonly vm: string;
  readonly place: string;
}

/** The part of a server's limit that one VM may use. */
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

/** Requests that all VMs together may always send at once. */
const LEAST_BURST_COUNT = 3;
/** A server that takes nothing is asked this often whether that still holds. */
const LEAST_PER_SECOND = 0.25;
/** The share of a VM that may not use the server. */
export const NO_SHARE: LimitShare = { perSecond: 0, burstCount: 0 };
const SECOND_MS = 1000;

/** Returns the share of a VM; VMs of the server's place come first. */
export function limitShareOf(
  limitPerSecond: number,
  { server, self, others }: {
    readonly server: { readonly id: string; readonly place: string };
    readonly self: LimitedVm;
    readonly others: readonly LimitedVm[];
  },
): LimitShare {
  const perSecond = Math.max(LEAST_PER_SECOND, limitPerSecond);
  const memberCount = 1 + others.length;
  const burstCount = burstOf(perSecond, memberCount);
  const vmCount = Math.min(memberCount, Math.floor(burstCount));
  let rank = 0;
  for (const other of others) {
    if (compareRanks(other, self, server) < 0) rank += 1;
    if (rank >= vmCount) return NO_SHARE;
  }
  return { perSecond: perSecond / vmCount, burstCount: burstCount / vmCount };
}

/**
 * Returns the burst of all VMs together: up to a second's worth more. With few
 * members it is smaller, as one more that is not known weighs more then.
 */
function burstOf(perSecond: number, memberCount: number): number {
  const share = Math.max(0, 1 - 2 / memberCount);
  return LEAST_BURST_COUNT + share * perSecond;
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

/** Returns the time until the next token; Infinity without a share. */
export function timeToTokenMs(
  { tokenCount }: LimitBucket,
  { perSecond }: LimitShare,
): number {
  if (tokenCount >= 1) return 0;
  return (1 - tokenCount) / perSecond * SECOND_MS;
}

function compareRanks(
  a: LimitedVm,
  b: LimitedVm,
  server: { readonly id: string; readonly place: string },
): number {
  const isNearA = a.place === server.place;
  const isNearB = b.place === server.place;
  if (isNearA !== isNearB) return isNearA ? -1 : 1;
  return hash32(`${server.id} ${a.vm}`) - hash32(`${server.id} ${b.vm}`) ||
    (a.vm < b.vm ? -1 : 1);
}
