/**
 * Chooses the store readers: the one VM in each data centre that reads the
 * platform's store for the others, so that its records are forwarded without
 * traffic between regions. Each VM computes the choice by hashing the members
 * that are present; while two views differ, the store has an extra reader.
 */
import { hash32 } from "../model/mod.ts";
import { type MembershipState } from "./membership_state.ts";

export interface StoreReaderCandidate {
  readonly vm: string;
  readonly place: string;
}

/** Returns the store readers by one VM's membership, in rank order. */
export function storeReadersOf(
  { self, members }: MembershipState,
): StoreReaderCandidate[] {
  const updates = [...members.values()].map(({ update }) => update);
  const alive = [self, ...updates].filter(({ status }) => status === "alive");
  return chooseStoreReaders(alive);
}

/** Returns one store reader per place, in rank order. */
export function chooseStoreReaders(
  members: readonly StoreReaderCandidate[],
): StoreReaderCandidate[] {
  const firstByPlace = new Map<string, RankedCandidate>();
  for (const member of members) {
    const candidate = { member, rank: hash32(`reader ${member.vm}`) };
    const first = firstByPlace.get(member.place);
    if (first === undefined || compareRanks(candidate, first) < 0) {
      firstByPlace.set(member.place, candidate);
    }
  }
  return [...firstByPlace.values()].sort(compareRanks)
    .map(({ member }) => member);
}

interface RankedCandidate {
  readonly member: StoreReaderCandidate;
  readonly rank: number;
}

function compareRanks(a: RankedCandidate, b: RankedCandidate): number {
  return a.rank - b.rank || (a.member.vm < b.member.vm ? -1 : 1);
}
