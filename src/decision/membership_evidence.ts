/**
 * Which members are known to be alive. A VM that takes part in the group without
 * a break hears of the failure of a member that was once known to be alive.
 * After a break, a pause of its process or the loss of all messages, it may have
 * missed that, as a VM that starts has; each member then needs new evidence: a
 * message of its own, or an update of a VM that had evidence a moment ago.
 */
import { type Member, type MemberUpdate } from "./member.ts";
import {
  type Draft,
  type MembershipMessage,
  type MembershipState,
} from "./membership_state.ts";

/** A failure during a shorter break is still heard of in time. */
const BREAK_MS = 2000;
/** Messages that waited during a break have arrived by then. */
const BACKLOG_MS = 1000;
/** Older hearsay may be of a member that failed since. */
const MAX_HEARSAY_MS = 2000;
/** A place none of whose members was heard for this long may be cut off. */
const PLACE_SILENCE_MS = 5000;

/**
 * Withdraws the evidence of all members where a break has just ended, and of
 * those of a place where the first message after its silence has come.
 */
export function noticeReturn(
  draft: Draft,
  from: MemberUpdate | undefined,
): void {
  const { nowMs, returnedAtMs } = draft;
  const pauseMs = nowMs - Math.max(draft.lastTickAtMs, returnedAtMs);
  let silenceMs = 0;
  if (from !== undefined) {
    const { place } = from;
    const placeHeardAtMs = draft.placeHeardAtMs.get(place) ?? nowMs;
    silenceMs = nowMs - draft.lastHeardAtMs;
    draft.lastHeardAtMs = nowMs;
    draft.placeHeardAtMs = draft.placeHeardAtMs.set(place, nowMs);
    if (nowMs - placeHeardAtMs > PLACE_SILENCE_MS) {
      withdrawEvidence(draft, (member) => member.place === place);
    }
  }
  if (Math.max(pauseMs, silenceMs) <= BREAK_MS) return;
  draft.returnedAtMs = nowMs;
  draft.returnSequence = draft.nextSequence;
  withdrawEvidence(draft, () => true);
}

function withdrawEvidence(
  draft: Draft,
  isOf: (update: MemberUpdate) => boolean,
): void {
  draft.members = draft.members.map((member) =>
    isOf(member.update) ? { ...member, isConfirmed: false } : member
  );
}

/** Whether messages may have waited until the end of a break. */
export function isJustBack({ nowMs, returnedAtMs }: Draft): boolean {
  return nowMs - returnedAtMs < BACKLOG_MS;
}

/** Whether a message was surely sent after the last break. */
export function isCurrent(draft: Draft, message: MembershipMessage): boolean {
  const { kind, sequence } = message;
  return !isJustBack(draft) ||
    (kind === "ack" && sequence >= draft.returnSequence);
}

/** Records that a member was alive at a time, by evidence of this moment. */
export function confirmAlive(draft: Draft, vm: string, atMs: number): void {
  const member = draft.members.get(vm);
  if (member === undefined) return;
  const aliveAtMs = Math.max(atMs, member.aliveAtMs ?? atMs);
  const confirmed = { ...member, aliveAtMs, isConfirmed: true };
  draft.members = draft.members.set(vm, confirmed);
}

/** Applies another VM's evidence of a member, if it is of this moment. */
export function applyHearsay(draft: Draft, update: MemberUpdate): void {
  const { vm, status, incarnation, heardMs = Infinity } = update;
  if (status !== "alive" || heardMs > MAX_HEARSAY_MS) return;
  if (isJustBack(draft)) return;
  const known = draft.members.get(vm)?.update;
  if (known?.status !== "alive" || known.incarnation !== incarnation) return;
  confirmAlive(draft, vm, draft.nowMs - heardMs);
}

/** Returns a member's update with the age of what this VM knows. */
export function withHearsay(
  { update, aliveAtMs }: Member,
  nowMs: number,
): MemberUpdate {
  if (update.status !== "alive" || aliveAtMs === undefined) return update;
  return { ...update, heardMs: Math.max(0, Math.round(nowMs - aliveAtMs)) };
}

/** Returns a function that tells whether a member is known to be alive. */
export function aliveCheck(
  state: MembershipState,
  nowMs: number,
): (member: Member) => boolean {
  // A paused VM answers callers before it has noticed the pause.
  if (nowMs - state.lastTickAtMs > BREAK_MS) return () => false;
  return ({ update, isConfirmed }) =>
    isConfirmed && update.status === "alive" &&
    nowMs - (state.placeHeardAtMs.get(update.place) ?? -Infinity) <=
      PLACE_SILENCE_MS;
}
