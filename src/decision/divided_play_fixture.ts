/**
 * Plays VMs that use a divided limit in virtual time. Each sends a request
 * whenever it has a token, which is the most that a limit has to bear.
 */
import {
  type DividedLimit,
  emptyBucket,
  type LimitBucket,
  type LimitedVm,
  type LimitShare,
  refillBucket,
  shareOf,
  takeToken,
  timeToTokenMs,
} from "./divided_limit.ts";
import { SETTLE_MS } from "./limited_vms.ts";

const SERVER = { id: "server-1", place: "khomas-a" };
const PLACES = ["khomas-a", "erongo-a", "oshana-a"];
/** One way to the server, by place. */
const WAYS_MS = [0, 1, 12];
const STEP_MS = 10;
/** Fills the buckets before the first request. */
const PAUSE_MS = 8000;

/** What is played. */
export interface DividedPlay {
  readonly limitFor: (memberCount: number) => DividedLimit;
  readonly vms: readonly LimitedVm[];
  /** The other VMs that a VM knows. */
  readonly othersOf: (self: LimitedVm) => readonly LimitedVm[];
  /** When a VM starts again, if it does; it then knows no other VM at first. */
  readonly restartAtMs: (self: LimitedVm) => number | undefined;
  readonly durationMs: number;
}

/** Returns VMs in a few places. */
export function limitedVmsOf(count: number): LimitedVm[] {
  return Array.from({ length: count }, (_, index) => ({
    vm: `vm-${index}`,
    place: PLACES[index % PLACES.length] ?? "",
  }));
}

/** Returns the times at which requests arrive at the server. */
export function playDivided(play: DividedPlay): number[] {
  const arrivalsMs: number[] = [];
  for (const self of play.vms) {
    const wayMs = WAYS_MS[PLACES.indexOf(self.place)] ?? 0;
    for (const sentAtMs of sentBy(self, play)) {
      arrivalsMs.push(sentAtMs + wayMs);
    }
  }
  return arrivalsMs.sort((a, b) => a - b);
}

/** Returns the most arrivals in a window. */
export function mostArrivals(
  sortedMs: readonly number[],
  windowMs: number,
): number {
  let most = 0;
  let first = 0;
  for (const [index, atMs] of sortedMs.entries()) {
    while (atMs - (sortedMs[first] ?? 0) >= windowMs) first += 1;
    most = Math.max(most, index - first + 1);
  }
  return most;
}

function sentBy(self: LimitedVm, play: DividedPlay): number[] {
  const { limitFor, othersOf, restartAtMs, durationMs } = play;
  const shareWith = (others: readonly LimitedVm[] | undefined): LimitShare =>
    shareOf(limitFor, { server: SERVER, self, others });
  const usual = shareWith(othersOf(self));
  const stranger = shareWith(undefined);
  const startedAtMs = restartAtMs(self) ?? Infinity;
  const sentAtMs: number[] = [];
  let bucket: LimitBucket = emptyBucket(-PAUSE_MS);
  let isRestarted = false;
  for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
    if (!isRestarted && nowMs >= startedAtMs) {
      bucket = emptyBucket(nowMs);
      isRestarted = true;
    }
    const isNew = nowMs >= startedAtMs && nowMs < startedAtMs + SETTLE_MS;
    const share = isNew ? stranger : usual;
    bucket = refillBucket(bucket, { share, nowMs });
    while (timeToTokenMs(bucket, share) === 0) {
      sentAtMs.push(nowMs);
      bucket = takeToken(bucket);
    }
  }
  return sentAtMs;
}
