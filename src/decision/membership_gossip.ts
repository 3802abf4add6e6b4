/**
 * Dissemination of membership updates: merges received updates into the member
 * table, refutes wrong ones about this VM, and selects the updates of the next
 * message. A message carries a bounded number of updates, whatever the size of
 * the group.
 */
import {
  isPresent,
  type Member,
  type MemberUpdate,
  supersedes,
} from "./member.ts";
import { applyHearsay, withHearsay } from "./membership_evidence.ts";
import { type Draft, groupSize, shuffle } from "./membership_state.ts";

/** Merges one received update, or refutes it if it is about this VM. */
export function mergeUpdate(draft: Draft, received: MemberUpdate): void {
  const { heardMs: _heardMs, ...update } = received;
  if (update.vm === draft.self.vm) {
    refute(draft, update);
    return;
  }
  const current = draft.members.get(update.vm);
  if (current === undefined) {
    if (update.status === "dead" || update.status === "left") return;
    if (!ensureCapacity(draft)) return;
  }
  if (current === undefined || supersedes(update, current.update)) {
    storeUpdate(draft, update, current);
  }
  applyHearsay(draft, received);
}

/** Merges a sender's update about itself, and records the time and load. */
export function mergeSender(
  draft: Draft,
  from: MemberUpdate,
  loadShare: number | undefined,
): void {
  if (from.vm === draft.self.vm) return;
  mergeUpdate(draft, from);
  const member = draft.members.get(from.vm);
  if (member === undefined) return;
  draft.members = draft.members.set(from.vm, {
    ...member,
    lastMessageAtMs: draft.nowMs,
    loadShare: loadShare ?? member.loadShare,
    isDisputed: from.incarnation !== member.update.incarnation ||
      from.peerAddress !== member.update.peerAddress,
  });
}

/** Changes this VM's update and raises its incarnation, to supersede others. */
export function updateSelf(draft: Draft, self: Partial<MemberUpdate>): void {
  draft.self = {
    ...draft.self,
    incarnation: draft.self.incarnation + 1,
    ...self,
  };
  draft.transmitCounts = draft.transmitCounts.set(draft.self.vm, 0);
}

/** Sets a member's status as observed by this VM. */
export function setStatus(
  draft: Draft,
  member: Member,
  status: MemberUpdate["status"],
): void {
  storeUpdate(draft, { ...member.update, status }, member);
}

/** Selects the updates of a message to `to`, and counts them as sent. */
export function selectUpdates(draft: Draft, to: string): MemberUpdate[] {
  const chosen = new Map<string, MemberUpdate>();
  const peer = draft.members.get(to);
  if (peer !== undefined && needsUpdate(peer)) chosen.set(to, peer.update);
  selectQueued(draft, chosen);
  selectRepairs(draft, chosen);
  return [...chosen.values()];
}

export function removeMember(draft: Draft, vm: string): void {
  draft.members = draft.members.delete(vm);
  draft.transmitCounts = draft.transmitCounts.delete(vm);
}

/** Whether a message to the member includes its entry, for it to refute. */
function needsUpdate(member: Member): boolean {
  return member.isDisputed || member.update.status !== "alive";
}

function refute(draft: Draft, update: MemberUpdate): void {
  const { self } = draft;
  if (update.incarnation < self.incarnation) return;
  const isSame = update.incarnation === self.incarnation &&
    update.status === self.status && update.peerAddress === self.peerAddress;
  if (isSame) return;
  updateSelf(draft, { incarnation: update.incarnation + 1 });
}

function storeUpdate(
  draft: Draft,
  update: MemberUpdate,
  current: Member | undefined,
): void {
  const isSuspect = update.status === "suspect";
  draft.members = draft.members.set(update.vm, {
    update,
    changedAtMs: draft.nowMs,
    lastMessageAtMs: current?.lastMessageAtMs,
    loadShare: current?.loadShare,
    suspectUntilMs: isSuspect ? draft.nowMs + suspicionMs(draft) : undefined,
    listed: current?.listed ?? "unknown",
    isDisputed: false,
    aliveAtMs: current?.aliveAtMs,
    // One that was taken for dead needs new evidence.
    isConfirmed: current !== undefined && current.isConfirmed &&
      isPresent(current.update.status),
  });
  draft.transmitCounts = draft.transmitCounts.set(update.vm, 0);
  if (current?.update.status === update.status) return;
  draft.effects.push({
    kind: "changed",
    update,
    before: current?.update.status,
  });
}

function suspicionMs(draft: Draft): number {
  const { periodMs, suspicionPeriods } = draft.options;
  const scale = Math.max(1, Math.log10(groupSize(draft)));
  return Math.ceil(periodMs * suspicionPeriods * scale);
}

function ensureCapacity(draft: Draft): boolean {
  if (draft.members.size < draft.options.maxMembers) return true;
  const removable = draft.members.findKey(({ update }) =>
    update.status === "dead" || update.status === "left"
  );
  if (removable === undefined) return false;
  removeMember(draft, removable);
  return true;
}

function selectQueued(draft: Draft, chosen: Map<string, MemberUpdate>): void {
  const { maxUpdates, retransmitFactor } = draft.options;
  const limit = retransmitFactor * Math.ceil(Math.log2(groupSize(draft) + 1));
  const queued = [...draft.transmitCounts].sort(([, a], [, b]) => a - b);
  for (const [vm, sentCount] of queued) {
    if (chosen.size >= maxUpdates) return;
    const update = updateOf(draft, vm);
    if (update !== undefined) chosen.set(vm, update);
    draft.transmitCounts = sentCount + 1 < limit && update !== undefined
      ? draft.transmitCounts.set(vm, sentCount + 1)
      : draft.transmitCounts.delete(vm);
  }
}

function selectRepairs(draft: Draft, chosen: Map<string, MemberUpdate>): void {
  const { maxUpdates, repairCount } = draft.options;
  const limit = Math.min(maxUpdates, chosen.size + repairCount);
  for (let turn = 0; turn < repairCount; turn++) {
    if (chosen.size >= limit) return;
    const member = nextRepair(draft);
    if (member === undefined) continue;
    chosen.set(member.update.vm, withHearsay(member, draft.nowMs));
  }
}

function nextRepair(draft: Draft): Member | undefined {
  if (draft.repairIndex >= draft.repairOrder.length) {
    draft.repairOrder = shuffle([...draft.members.keys()], draft.random);
    draft.repairIndex = 0;
  }
  const vm = draft.repairOrder[draft.repairIndex];
  draft.repairIndex += 1;
  return vm === undefined ? undefined : draft.members.get(vm);
}

function updateOf(draft: Draft, vm: string): MemberUpdate | undefined {
  if (vm === draft.self.vm) return draft.self;
  const member = draft.members.get(vm);
  return member === undefined ? undefined : withHearsay(member, draft.nowMs);
}
