/**
 * Which VMs read the platform's store for all: one in each data centre, by
 * hashing over the members that are present, so that what was read is passed on
 * without traffic between regions. Every VM works this out for itself; where
 * two views differ for a while, the store is read once more often.
 */
import { hash32 } from "../model/mod.ts";

/** A member as far as reading is concerned. */
export interface StoreReaderCandidate {
  readonly vm: string;
  readonly place: string;
}

/** The readers among the members: one for each place, in rank order. */
export function chooseStoreReaders(
  members: readonly StoreReaderCandidate[],
): StoreReaderCandidate[] {
  const firstByPlace = new Map<string, RankedCandidate>();
  for (const member of members) {
    const drawn = { member, draw: hash32(`reader ${member.vm}`) };
    const first = firstByPlace.get(member.place);
    if (first === undefined || compareRanks(drawn, first) < 0) {
      firstByPlace.set(member.place, drawn);
    }
  }
  return [...firstByPlace.values()].sort(compareRanks)
    .map(({ member }) => member);
}

interface RankedCandidate {
  readonly member: StoreReaderCandidate;
  readonly draw: number;
}

function compareRanks(a: RankedCandidate, b: RankedCandidate): number {
  return a.draw - b.draw || (a.member.vm < b.member.vm ? -1 : 1);
}
