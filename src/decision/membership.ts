/**
 * Membership of the entry VMs: who takes part, by probes and by updates that
 * ride on them. A pure state machine of `(state, event, time, chance)`. The cost
 * of a VM is constant in the size of the group: one probe a period and a
 * bounded number of updates a message. The platform's VM list only seeds and
 * removes members; a fresh message from a member outweighs it.
 */
import { type Vm } from "../model/mod.ts";
import {
  isPresent,
  type ListedStatus,
  type Member,
  type MemberUpdate,
} from "./member.ts";
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

/** What the state machine reacts to. */
export type MembershipEvent =
  /** Time has passed; due at `nextTickAtMs`. */
  | { readonly kind: "tick" }
  | { readonly kind: "message"; readonly message: MembershipMessage }
  /** A handshake with a member succeeded. */
  | { readonly kind: "met"; readonly from: MemberUpdate }
  /** A VM list was read, whole. */
  | { readonly kind: "listed"; readonly vms: readonly Vm[] }
  | { readonly kind: "load"; readonly loadShare: number }
  /** This VM's own address became known or changed. */
  | {
    readonly kind: "moved";
    readonly address: string;
    readonly peerAddress: string;
  }
  /** This VM no longer wants to be handed out, or has left. */
  | { readonly kind: "status"; readonly status: "leaving" | "left" };

/** The next state and what is to be done. */
export interface MembershipStep {
  readonly state: MembershipState;
  readonly effects: readonly MembershipEffect[];
}

/** Applies one event. */
export function applyMembership(
  state: MembershipState,
  event: MembershipEvent,
  context: StepContext,
): MembershipStep {
  const draft = openDraft(state, context);
  react(draft, event);
  return { state: closeDraft(draft), effects: draft.effects };
}

/** Members that take part as far as is known, this VM not included. */
export function presentMembers(state: MembershipState): Member[] {
  return [...state.members.values()].filter((member) =>
    isPresent(member.update.status)
  );
}

function react(draft: Draft, event: MembershipEvent): void {
  switch (event.kind) {
    case "tick":
      return tick(draft);
    case "message":
      return receive(draft, event.message);
    case "met":
      return mergeSender(draft, event.from, undefined);
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

function receive(draft: Draft, message: MembershipMessage): void {
  const { from, sequence } = message;
  mergeSender(draft, from, message.loadShare);
  for (const update of message.updates) mergeUpdate(draft, update);
  const sender = draft.members.get(from.vm);
  if (sender === undefined) return;
  if (message.kind === "ack") return handleAck(draft, sequence);
  if (message.kind === "probe") return sendAck(draft, sender, sequence);
  relayProbe(draft, message.target, { by: from.vm, sequence });
}

function announce(draft: Draft, status: "leaving" | "left"): void {
  if (draft.self.status === status || draft.self.status === "left") return;
  updateSelf(draft, { status });
  if (status !== "left") return;
  const known = [...draft.members.values()].filter(({ update }) =>
    update.status === "alive"
  );
  for (const member of known.slice(0, draft.options.indirectCount)) {
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
      suspectRemoved(draft, { ...member, listed }, member.listed);
    }
  }
}

/** Takes a VM from the list; not spread, since every VM reads the list. */
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

/** A member that vanished from the list has to speak up for itself. */
function suspectRemoved(
  draft: Draft,
  member: Member,
  before: ListedStatus,
): void {
  if (before !== "live" && before !== "leaving") return;
  const { status } = member.update;
  if (status !== "alive" && status !== "leaving") return;
  if (!isFresh(draft, member)) setStatus(draft, member, "suspect");
}

function isFresh(draft: Draft, member: Member): boolean {
  if (member.lastMessageAtMs === undefined) return false;
  return draft.nowMs - member.lastMessageAtMs <= draft.options.freshMs;
}
