/**
 * Failure detection. Each period one member is probed, in a shuffled order. If
 * it doesn't answer, it is probed through other members and over a new
 * connection; then it becomes suspect, and after a timeout dead. A VM that was
 * itself paused discards its probe and extends all suspicions by the pause.
 */
import { isPresent, type Member } from "./member.ts";
import { removeMember, selectUpdates, setStatus } from "./membership_gossip.ts";
import {
  type Draft,
  type MembershipState,
  type MessageHead,
  shuffle,
} from "./membership_state.ts";

/** A tick later than this many periods means that this VM was paused. */
const PAUSE_PERIODS = 2;
/** Concurrent probes made on behalf of other members. */
const MAX_RELAYS = 64;

/** Ends overdue probes and suspicions, and begins the next period. */
export function tick(draft: Draft): void {
  const lateMs = draft.nowMs - draft.lastTickAtMs;
  draft.lastTickAtMs = draft.nowMs;
  if (lateMs > PAUSE_PERIODS * draft.options.periodMs) addPause(draft, lateMs);
  expireRelays(draft);
  endProbe(draft);
  endSuspicions(draft);
  if (draft.nowMs >= draft.nextPeriodAtMs) beginPeriod(draft);
}

/** Returns when the next tick is due. */
export function nextTickAtMs(state: MembershipState): number {
  const { probe } = state;
  if (probe === undefined || probe.isIndirect) return state.nextPeriodAtMs;
  return Math.min(probe.directUntilMs, state.nextPeriodAtMs);
}

/** Ends the probe, or forwards the ack to the member that requested it. */
export function handleAck(draft: Draft, sequence: number): void {
  if (draft.probe?.sequence === sequence) draft.probe = undefined;
  const relay = draft.relays.get(sequence);
  if (relay === undefined) return;
  draft.relays = draft.relays.delete(sequence);
  const requester = draft.members.get(relay.requestedBy);
  if (requester === undefined) return;
  sendAck(draft, requester, relay.sequence);
}

export function sendAck(draft: Draft, to: Member, sequence: number): void {
  draft.effects.push({
    kind: "send",
    to: to.update,
    message: { kind: "ack", ...headOf(draft, to, sequence) },
    isFresh: false,
  });
}

/** Probes a member on behalf of another one. */
export function relayProbe(
  draft: Draft,
  target: string,
  requester: { readonly vm: string; readonly sequence: number },
): void {
  const member = draft.members.get(target);
  if (member === undefined || draft.relays.size >= MAX_RELAYS) return;
  const sequence = sendProbe(draft, member, false);
  draft.relays = draft.relays.set(sequence, {
    requestedBy: requester.vm,
    sequence: requester.sequence,
    untilMs: draft.nowMs + draft.options.periodMs,
  });
}

/** Discards the probe and extends suspicions by the duration of a pause. */
function addPause(draft: Draft, lateMs: number): void {
  draft.probe = undefined;
  draft.members = draft.members.map((member) =>
    member.suspectUntilMs === undefined ? member : {
      ...member,
      suspectUntilMs: member.suspectUntilMs + lateMs,
    }
  );
}

function expireRelays(draft: Draft): void {
  if (draft.relays.size === 0) return;
  draft.relays = draft.relays.filter((relay) => relay.untilMs > draft.nowMs);
}

function endProbe(draft: Draft): void {
  const { probe } = draft;
  if (probe === undefined) return;
  const member = draft.members.get(probe.target);
  if (member === undefined || !isPresent(member.update.status)) {
    draft.probe = undefined;
    return;
  }
  if (draft.nowMs >= probe.untilMs) {
    draft.probe = undefined;
    if (member.update.status !== "suspect") setStatus(draft, member, "suspect");
    return;
  }
  if (probe.isIndirect || draft.nowMs < probe.directUntilMs) return;
  probeIndirectly(draft, member, probe.sequence);
  draft.probe = { ...probe, isIndirect: true };
}

function probeIndirectly(
  draft: Draft,
  target: Member,
  sequence: number,
): void {
  draft.effects.push({
    kind: "send",
    to: target.update,
    message: { kind: "probe", ...headOf(draft, target, sequence) },
    isFresh: true,
  });
  const others = draft.members.toList().filter(({ update }) =>
    update.status === "alive" && update.vm !== target.update.vm
  ).toArray();
  const relays = shuffle(others, draft.random);
  for (const relay of relays.slice(0, draft.options.indirectCount)) {
    draft.effects.push({
      kind: "send",
      to: relay.update,
      message: {
        kind: "probe_request",
        target: target.update.vm,
        ...headOf(draft, relay, sequence),
      },
      isFresh: false,
    });
  }
}

function endSuspicions(draft: Draft): void {
  for (const member of draft.members.values()) {
    const { suspectUntilMs } = member;
    if (suspectUntilMs === undefined || suspectUntilMs > draft.nowMs) continue;
    setStatus(draft, member, "dead");
  }
}

function beginPeriod(draft: Draft): void {
  const { periodMs, deadProbePeriods } = draft.options;
  draft.nextPeriodAtMs = draft.nowMs + periodMs;
  draft.periodCount += 1;
  const target = nextTarget(draft);
  if (target !== undefined) beginProbe(draft, target);
  if (draft.periodCount % deadProbePeriods === 0) checkDead(draft);
}

function beginProbe(draft: Draft, target: Member): void {
  const sequence = sendProbe(draft, target, false);
  draft.probe = {
    target: target.update.vm,
    sequence,
    directUntilMs: draft.nowMs + draft.options.directTimeoutMs,
    untilMs: draft.nowMs + draft.options.periodMs,
    isIndirect: false,
  };
}

function nextTarget(draft: Draft): Member | undefined {
  for (let attempt = 0; attempt <= draft.members.size; attempt++) {
    if (draft.orderIndex >= draft.order.length) {
      draft.order = shuffle([...draft.members.keys()], draft.random);
      draft.orderIndex = 0;
    }
    const member = draft.members.get(draft.order[draft.orderIndex] ?? "");
    draft.orderIndex += 1;
    if (member !== undefined && isPresent(member.update.status)) return member;
  }
  return undefined;
}

function checkDead(draft: Draft): void {
  const { removeDeadAfterMs } = draft.options;
  const dead: Member[] = [];
  for (const member of draft.members.values()) {
    if (isPresent(member.update.status)) continue;
    const ageMs = draft.nowMs - member.changedAtMs;
    if (member.listed !== "live" && ageMs > removeDeadAfterMs) {
      removeMember(draft, member.update.vm);
    } else if (member.update.status === "dead") dead.push(member);
  }
  const target = dead[Math.floor(draft.random() * dead.length)];
  if (target !== undefined) sendProbe(draft, target, true);
}

function sendProbe(draft: Draft, to: Member, isFresh: boolean): number {
  const sequence = draft.nextSequence;
  draft.nextSequence += 1;
  draft.effects.push({
    kind: "send",
    to: to.update,
    message: { kind: "probe", ...headOf(draft, to, sequence) },
    isFresh,
  });
  return sequence;
}

function headOf(draft: Draft, to: Member, sequence: number): MessageHead {
  return {
    sequence,
    from: draft.self,
    loadShare: draft.loadShare,
    updates: selectUpdates(draft, to.update.vm),
  };
}
