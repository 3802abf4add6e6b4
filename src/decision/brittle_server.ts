/**
 * Divides the permits of a brittle backend server among the VMs. Such a server
 * falls over when it has to turn away more than a few requests in a second, so
 * each request at it needs a permit, and there are only as many as it can run
 * and a few more that wait there. Each VM computes its part of the permits from
 * the members that it knows, and no request waits for another VM. Where there
 * are fewer permits than VMs, a hash of server and VM decides who has them,
 * whatever the place: a request that has a long way is better than one that is
 * refused.
 *
 * A refusal shows that the server takes fewer requests, or that VMs see other
 * members. Each takes the permit of the refused request from its VM, so there
 * are at most as many refusals as permits too many. A VM gets one permit back
 * after a while, which is the longer the more VMs use the server, as each permit
 * that is given back may cause a refusal.
 */
import { hash32 } from "../model/mod.ts";

/** A brittle server as far as its permits go. */
export interface BrittleServer {
  readonly id: string;
  readonly slotCount: number;
  /** Requests that it may turn away in a second without falling over. */
  readonly refusalsPerSecond: number;
}

/** A VM that may use the server. */
export interface BrittleVm {
  readonly vm: string;
}

/** The part of a server's permits that one VM may use. */
export interface BrittlePart {
  readonly permitCount: number;
  /** The VMs that use the server. */
  readonly userCount: number;
}

/** What a VM has learned of a server's permits by refusals; immutable. */
export interface BrittleBackoff {
  /** Permits of the VM's part that it doesn't use for now. */
  readonly missingCount: number;
  /** When the count was last changed. */
  readonly changedAtMs: number;
}

/** Requests that wait at a server, so that a slot is not idle between two. */
const MAX_WAITING_COUNT = 2;
/** The share of the refusals borne that the VMs together may cause. */
const REFUSAL_SHARE = 0.5;
/** Bounds of the time after which one permit more is counted again. */
const RESTORE_MS = { min: 2000, max: 10_000 } as const;
const SECOND_MS = 1000;

/** The state of a server without a refusal. */
export const NO_BACKOFF: BrittleBackoff = { missingCount: 0, changedAtMs: 0 };

/** Returns how many requests all VMs together may have at a server. */
export function brittlePermitCount(
  { slotCount, refusalsPerSecond }: BrittleServer,
): number {
  const waitingCount = Math.floor(REFUSAL_SHARE * refusalsPerSecond);
  return Math.max(1, slotCount) + Math.min(MAX_WAITING_COUNT, waitingCount);
}

/** Returns the part of a VM. */
export function brittlePartOf(
  server: BrittleServer,
  { self, others }: {
    readonly self: BrittleVm;
    readonly others: readonly BrittleVm[];
  },
): BrittlePart {
  const permitCount = brittlePermitCount(server);
  const userCount = Math.min(1 + others.length, permitCount);
  let rank = 0;
  for (const other of others) {
    if (compareRanks(other, self, server) < 0) rank += 1;
    if (rank >= userCount) return { permitCount: 0, userCount };
  }
  const hasOneMore = rank < permitCount % userCount;
  const evenCount = Math.floor(permitCount / userCount);
  return { permitCount: evenCount + (hasOneMore ? 1 : 0), userCount };
}

/** Returns the back-off after a refusal. */
export function backOff(
  { missingCount }: BrittleBackoff,
  { part, nowMs }: { readonly part: BrittlePart; readonly nowMs: number },
): BrittleBackoff {
  return {
    missingCount: Math.min(part.permitCount, missingCount + 1),
    changedAtMs: nowMs,
  };
}

/** Returns the time until a permit counts again; 0 if none is missing. */
export function timeToRestoreMs(
  { missingCount, changedAtMs }: BrittleBackoff,
  { server, part, nowMs }: {
    readonly server: BrittleServer;
    readonly part: BrittlePart;
    readonly nowMs: number;
  },
): number {
  if (missingCount === 0) return 0;
  const allowedPerSecond = REFUSAL_SHARE * server.refusalsPerSecond;
  const restoreMs = Math.min(
    RESTORE_MS.max,
    Math.max(RESTORE_MS.min, part.userCount / allowedPerSecond * SECOND_MS),
  );
  return Math.max(0, changedAtMs + restoreMs - nowMs);
}

/** Returns the back-off with one permit that counts again. */
export function restorePermit(
  { missingCount }: BrittleBackoff,
  nowMs: number,
): BrittleBackoff {
  return { missingCount: Math.max(0, missingCount - 1), changedAtMs: nowMs };
}

function compareRanks(
  a: BrittleVm,
  b: BrittleVm,
  server: BrittleServer,
): number {
  return hash32(`${server.id} ${a.vm}`) - hash32(`${server.id} ${b.vm}`) ||
    (a.vm < b.vm ? -1 : 1);
}
