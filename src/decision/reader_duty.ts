/**
 * Which VMs read the platform's store for all: one in each data centre, by
 * hashing over the members that are present, so that what was read is passed on
 * without traffic between regions. Every VM works this out for itself; where
 * two views differ for a while, the store is read once more often.
 */
import { hash32 } from "../model/mod.ts";

/** A member as far as reading is concerned. */
export interface ReaderCandidate {
  readonly vm: string;
  readonly place: string;
}

/** The readers among the members: one for each place, in rank order. */
export function readersOf(
  members: readonly ReaderCandidate[],
): ReaderCandidate[] {
  const ranked = members
    .map((member) => ({ member, draw: hash32(`reader ${member.vm}`) }))
    .sort((a, b) => a.draw - b.draw || (a.member.vm < b.member.vm ? -1 : 1));
  const byPlace = new Map<string, ReaderCandidate>();
  for (const { member } of ranked) {
    if (!byPlace.has(member.place)) byPlace.set(member.place, member);
  }
  return [...byPlace.values()];
}
