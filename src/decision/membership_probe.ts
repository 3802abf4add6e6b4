/**
 * Probing: one member a period in a shuffled round, then indirect probes and a
 * fresh connection before suspicion, then suspicion with a timeout before death.
 * A VM that finds itself to have been paused blames nobody for the gap.
 */
import { isPresent, type Member } from "./member.ts";
import { removeMember, selectUpdates, setStatus } from "./membership_gossip.ts";
import {
  type Draft,
  type MembershipState,
  type MessageHead,
  shuffle,
} from "./membership_state.ts";

/** A tick this many periods late means that this VM itself was paused. */
const PAUSE_PERIODS = 2;
const MAX_RELAYS = 64;

/** Does all that is due. */
export function tick(draft: Draft): void {
  const lateMs = draft.nowMs - draft.lastTickAtMs;
  draft.lastTickAtMs = draft.nowMs;
  if (lateMs > PAUSE_PERIODS * draft.options.periodMs) excuseAll(draft, lateMs);
  dropRelays(draft);
  endProbe(draft);
  endSuspicions(draft);
  if (draft.nowMs >= draft.nextPeriodAtMs) beginPeriod(draft);
}

/** When the next tick is due. */
export function nextTickAtMs(state: MembershipState): number {
  const { probe } = state;
  if (probe === undefined || probe.isIndirect) return state.nextPeriodAtMs;
  return Math.min(probe.directUntilMs, state.nextPeriodAtMs);
}

/** Ends the probe, or answers the member for which it was made. */
export function handleAck(draft: Draft, sequence: number): void {
  if (draft.probe?.sequence === sequence) draft.probe = undefined;
  const relay = draft.relays.get(sequence);
  if (relay === undefined) return;
  draft.relays = draft.relays.delete(sequence);
  const asker = draft.members.get(relay.requestedBy);
  if (asker === undefined) return;
  sendAck(draft, asker, relay.sequence);
}

/** Sends an ack. */
export function sendAck(draft: Draft, to: Member, sequence: number): void {
  draft.effects.push({
    kind: "send",
    to: to.update,
    message: { kind: "ack", ...headOf(draft, to, sequence) },
    isFresh: false,
  });
}

/** Probes a member because another one asked for it. */
export function relayProbe(
  draft: Draft,
  target: string,
  asked: { readonly by: string; readonly sequence: number },
): void {
  const member = draft.members.get(target);
  if (member === undefined || draft.relays.size >= MAX_RELAYS) return;
  const sequence = sendProbe(draft, member, false);
  draft.relays = draft.relays.set(sequence, {
    requestedBy: asked.by,
    sequence: asked.sequence,
    untilMs: draft.nowMs + draft.options.periodMs,
  });
}

function excuseAll(draft: Draft, lateMs: number): void {
  draft.probe = undefined;
  draft.members = draft.members.map((member) =>
    member.suspectUntilMs === undefined ? member : {
      ...member,
      suspectUntilMs: member.suspectUntilMs + lateMs,
    }
  );
}

function dropRelays(draft: Draft): void {
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
  const helpers = shuffle(others, draft.random);
  for (const helper of helpers.slice(0, draft.options.indirectCount)) {
    draft.effects.push({
      kind: "send",
      to: helper.update,
      message: {
        kind: "probe_request",
        target: target.update.vm,
        ...headOf(draft, helper, sequence),
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
  const { periodMs, deadProbePeriods: revivePeriods } = draft.options;
  draft.nextPeriodAtMs = draft.nowMs + periodMs;
  draft.periodCount += 1;
  const target = nextTarget(draft);
  if (target !== undefined) beginProbe(draft, target);
  if (draft.periodCount % revivePeriods === 0) probeDead(draft);
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
  for (let tried = 0; tried <= draft.members.size; tried++) {
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

function probeDead(draft: Draft): void {
  const { removeDeadAfterMs: forgetAfterMs } = draft.options;
  const dead: Member[] = [];
  for (const member of draft.members.values()) {
    if (isPresent(member.update.status)) continue;
    const ageMs = draft.nowMs - member.changedAtMs;
    if (member.listed !== "live" && ageMs > forgetAfterMs) {
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
