/**
 * Gossip membership of the entry VMs: members probe each other, and probes and
 * acks carry updates about other members. A pure state machine of `(state,
 * event, time, random source)`. The load on a VM does not grow with the group:
 * one probe per period and a bounded number of updates per message. The
 * platform's VM list only adds and removes members; a recent message from a
 * member overrides it.
 */
import { type Vm } from "../model/mod.ts";
import {
  isPresent,
  type ListedStatus,
  type Member,
  type MemberUpdate,
} from "./member.ts";
import {
  confirmAlive,
  isCurrent,
  isJustBack,
  noticeReturn,
} from "./membership_evidence.ts";
import {
  mergeSender,
  mergeUpdate,
  setStatus,
  updateSelf,
} from "./membership_gossip.ts";
import { handleAck, relayProbe, sendAck, tick } from "./membership_probe.ts";
import {
  closeDraft,
  type Draft,
  type MembershipEffect,
  type MembershipMessage,
  type MembershipState,
  openDraft,
  type StepContext,
} from "./membership_state.ts";

export type MembershipEvent =
  /** Time has passed; due at `nextTickAtMs`. */
  | { readonly kind: "tick" }
  | { readonly kind: "message"; readonly message: MembershipMessage }
  /** A handshake with a member succeeded. */
  | { readonly kind: "met"; readonly from: MemberUpdate }
  /** The complete VM list was read. */
  | { readonly kind: "listed"; readonly vms: readonly Vm[] }
  | { readonly kind: "load"; readonly loadShare: number }
  /** This VM's own address was determined or changed. */
  | {
    readonly kind: "moved";
    readonly address: string;
    readonly peerAddress: string;
  }
  /** This VM must no longer be advertised, or has left. */
  | { readonly kind: "status"; readonly status: "leaving" | "left" };

/** The next state, and the effects for the caller to carry out. */
export interface MembershipStep {
  readonly state: MembershipState;
  readonly effects: readonly MembershipEffect[];
}

export function applyMembership(
  state: MembershipState,
  event: MembershipEvent,
  context: StepContext,
): MembershipStep {
  const draft = openDraft(state, context);
  noticeReturn(draft, senderOf(event));
  applyEvent(draft, event);
  return { state: closeDraft(draft), effects: draft.effects };
}

/** Returns the members that take part, without this VM. */
export function presentMembers(state: MembershipState): Member[] {
  return [...state.members.values()].filter((member) =>
    isPresent(member.update.status)
  );
}

function applyEvent(draft: Draft, event: MembershipEvent): void {
  switch (event.kind) {
    case "tick":
      return tick(draft);
    case "message":
      return receive(draft, event.message);
    case "met":
      mergeSender(draft, event.from, undefined);
      if (!isJustBack(draft)) confirmAlive(draft, event.from.vm, draft.nowMs);
      return;
    case "listed":
      return mergeList(draft, event.vms);
    case "load":
      draft.loadShare = event.loadShare;
      return;
    case "moved":
      return updateSelf(draft, {
        address: event.address,
        peerAddress: event.peerAddress,
      });
    case "status":
      return announce(draft, event.status);
  }
}

function senderOf(event: MembershipEvent): MemberUpdate | undefined {
  if (event.kind === "message") return event.message.from;
  return event.kind === "met" ? event.from : undefined;
}

function receive(draft: Draft, message: MembershipMessage): void {
  const { from, sequence } = message;
  mergeSender(draft, from, message.loadShare);
  if (isCurrent(draft, message)) confirmAlive(draft, from.vm, draft.nowMs);
  for (const update of message.updates) mergeUpdate(draft, update);
  const sender = draft.members.get(from.vm);
  if (sender === undefined) return;
  if (message.kind === "ack") return handleAck(draft, sequence);
  if (message.kind === "probe") return sendAck(draft, sender, sequence);
  relayProbe(draft, message.target, { vm: from.vm, sequence });
}

function announce(draft: Draft, status: "leaving" | "left"): void {
  if (draft.self.status === status || draft.self.status === "left") return;
  updateSelf(draft, { status });
  if (status !== "left") return;
  const alive = [...draft.members.values()].filter(({ update }) =>
    update.status === "alive"
  );
  for (const member of alive.slice(0, draft.options.indirectCount)) {
    sendAck(draft, member, 0);
  }
}

function mergeList(draft: Draft, vms: readonly Vm[]): void {
  const entries = new Map<string, Vm>();
  for (const vm of vms) if (vm.kind === "entry") entries.set(vm.vm, vm);
  for (const vm of entries.values()) addListed(draft, vm);
  for (const [name, member] of draft.members) {
    const listed = entries.get(name)?.status ?? "absent";
    draft.members = draft.members.set(name, { ...member, listed });
    if (listed === "absent") {
      suspectUnlisted(draft, { ...member, listed }, member.listed);
    }
  }
}

/** Adds a VM of the list; not gossiped, since every VM reads the list. */
function addListed(draft: Draft, vm: Vm): void {
  if (draft.members.has(vm.vm) || vm.peerAddress === "") return;
  mergeUpdate(draft, {
    vm: vm.vm,
    place: vm.place,
    address: vm.address,
    peerAddress: vm.peerAddress,
    incarnation: 0,
    status: "alive",
  });
  draft.transmitCounts = draft.transmitCounts.delete(vm.vm);
}

/** Suspects a member removed from the list, unless it sent a recent message. */
function suspectUnlisted(
  draft: Draft,
  member: Member,
  before: ListedStatus,
): void {
  if (before !== "live" && before !== "leaving") return;
  const { status } = member.update;
  if (status !== "alive" && status !== "leaving") return;
  if (!hasRecentMessage(draft, member)) setStatus(draft, member, "suspect");
}

function hasRecentMessage(draft: Draft, member: Member): boolean {
  if (member.lastMessageAtMs === undefined) return false;
  return draft.nowMs - member.lastMessageAtMs <= draft.options.recentMessageMs;
}
