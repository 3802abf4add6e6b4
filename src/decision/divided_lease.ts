/**
 * Leases of shares of a divided limit. A VM that doesn't use its share lends it
 * as a whole to one that needs more. The lender gives it up for longer than the
 * borrower may use it, and the borrower counts from when it asked, so the sum of
 * all shares never grows, whichever message is late or lost. Tokens are not
 * lent: the lender's are gone, and it begins without any when the loan ends.
 */
import {
  type LimitBucket,
  type LimitShare,
  NO_SHARE,
} from "./divided_limit.ts";

/** How long a borrower may use a share after it asked for it. */
export const BORROW_MS = 2000;
/** How long a lender gives it up after it was asked. */
export const LEND_MS = 3000;
/** After this time a lender that may need its share takes it back for a while. */
const MAX_LENT_MS = 20_000;

/** A share that a VM has lent. */
export interface Loan {
  readonly borrower: string;
  readonly sinceMs: number;
  readonly untilMs: number;
}

/** A share that a VM has borrowed. */
export interface BorrowedShare {
  readonly lender: string;
  readonly perSecond: number;
  /** The limit that was divided; the share is void when it has changed. */
  readonly limitPerSecond: number;
  readonly untilMs: number;
}

/** Returns the loan after a request for it; `undefined` to refuse it. */
export function lendShare(
  loan: Loan | undefined,
  { borrower, isUnused, isWanted, nowMs }: {
    readonly borrower: string;
    /** Whether the lender could have used its share and did not. */
    readonly isUnused: boolean;
    /** Whether it may need the share that it has lent. */
    readonly isWanted: boolean;
    readonly nowMs: number;
  },
): Loan | undefined {
  const untilMs = nowMs + LEND_MS;
  if (loan === undefined || nowMs >= loan.untilMs) {
    return isUnused ? { borrower, sinceMs: nowMs, untilMs } : undefined;
  }
  const isOver = isWanted && nowMs - loan.sinceMs >= MAX_LENT_MS;
  if (loan.borrower !== borrower || isOver) return undefined;
  return { ...loan, untilMs };
}

/** Returns what a VM may use with its loan and what it has borrowed. */
export function shareWithLeases(
  own: LimitShare,
  { loan, borrowed, nowMs }: {
    readonly loan: Loan | undefined;
    readonly borrowed: readonly BorrowedShare[];
    readonly nowMs: number;
  },
): LimitShare {
  const isLent = loan !== undefined && nowMs < loan.untilMs;
  const kept = isLent ? NO_SHARE : own;
  if (borrowed.length === 0) return kept;
  let { perSecond } = kept;
  for (const share of borrowed) perSecond += share.perSecond;
  return { perSecond, burstCount: Math.max(1, kept.burstCount) };
}

/** Returns a lender's bucket, which begins empty when the loan ends. */
export function bucketWithLoan(
  bucket: LimitBucket,
  { loan, nowMs }: { readonly loan: Loan | undefined; readonly nowMs: number },
): LimitBucket {
  if (loan === undefined || bucket.updatedAtMs >= loan.untilMs) return bucket;
  if (bucket.updatedAtMs < loan.sinceMs) return bucket;
  return { tokenCount: 0, updatedAtMs: Math.min(nowMs, loan.untilMs) };
}
