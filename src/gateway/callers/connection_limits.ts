/**
 * How many connections the servers of a VM keep at once. The descriptors of the
 * process have to do for callers and for as many connections to backend servers,
 * and its memory for the heads that connections have received in part.
 */
import { MAX_HEAD_BYTES } from "./caller_server.ts";

export interface VmLimits {
  readonly memoryBytes: number;
  /** Descriptors of the process. */
  readonly descriptorCount: number;
}

/** Kept for files, and for connections to VMs and to the store. */
const RESERVED_COUNT = 200;
const CALLER_SHARE = 0.42;
const MANAGEMENT_SHARE = 0.05;
const HEAD_MEMORY_SHARE = 0.25;
/** Also a very small VM serves as many. */
const MIN_COUNT = 16;

/** Returns how many connections of callers a VM keeps. */
export function callerConnectionLimit(limits: VmLimits): number {
  const headCount = HEAD_MEMORY_SHARE * limits.memoryBytes / MAX_HEAD_BYTES;
  return Math.min(shareOf(limits, CALLER_SHARE), Math.floor(headCount));
}

/** Returns how many connections each of its other servers keeps. */
export function managementConnectionLimit(limits: VmLimits): number {
  return shareOf(limits, MANAGEMENT_SHARE);
}

function shareOf({ descriptorCount }: VmLimits, share: number): number {
  const count = share * (descriptorCount - RESERVED_COUNT);
  return Math.max(MIN_COUNT, Math.floor(count));
}
