/**
 * The VMs among which limits are divided: all that this VM has known lately,
 * also those that are taken for dead. A VM that the others don't hear may go on
 * to use its share, so its share is divided again only after the time for which
 * the membership keeps a dead member, or once it has said that it ended.
 */
import { type LimitedVm } from "./divided_limit.ts";
import { type MembershipState } from "./membership_state.ts";

/** A VM knows the others this long after its start, and leases have ended. */
export const SETTLE_MS = 2000;
/** A VM that has met no other one for this long is the only one. */
const ALONE_MS = 120_000;

/** Returns the other VMs; `undefined` while this VM may not know them. */
export function limitedVms(
  state: MembershipState,
  { hasSeeds, ageMs, known = knownVms }: {
    /** Whether this VM was given addresses of others. */
    readonly hasSeeds: boolean;
    /** Time since this VM's start. */
    readonly ageMs: number;
    /** Returns the same as {@link knownVms}. */
    readonly known?: typeof knownVms;
  },
): readonly LimitedVm[] | undefined {
  if (state.members.size === 0) {
    return hasSeeds && ageMs < ALONE_MS ? undefined : [];
  }
  if (ageMs < SETTLE_MS) return undefined;
  return known(state);
}

/** Returns the other VMs but for those that have left or were replaced. */
export function knownVms(
  { self, members }: MembershipState,
): readonly LimitedVm[] {
  const vms: LimitedVm[] = [];
  const addresses = new Set([self.peerAddress]);
  const goneVms: { readonly vm: LimitedVm; readonly address: string }[] = [];
  for (const { update } of members.values()) {
    const { vm, place, peerAddress, status } = update;
    if (status === "left") continue;
    if (status === "dead") {
      goneVms.push({ vm: { vm, place }, address: peerAddress });
      continue;
    }
    addresses.add(peerAddress);
    vms.push({ vm, place });
  }
  // A VM that is replaced ends before the next one starts at its address.
  for (const { vm, address } of goneVms) {
    if (!addresses.has(address)) vms.push(vm);
  }
  return vms;
}
