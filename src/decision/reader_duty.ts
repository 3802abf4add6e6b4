/**
 * Which VMs read the platform's store for all: a few, by rendezvous hashing
 * over the members that are present. Every VM works this out for itself; where
 * two views differ for a while, the store is read once more often.
 */
import { hash32 } from "../model/mod.ts";

/** Readers of a small group, so that the loss of one is not noticed. */
const LEAST_READERS = 2;
/** One reader more for each so many VMs. */
const VMS_PER_READER = 24;

/** The readers among the members, first in rank first. */
export function readersOf(vms: readonly string[]): string[] {
  const count = LEAST_READERS + Math.floor(vms.length / VMS_PER_READER);
  const ranked = vms
    .map((vm) => ({ vm, draw: hash32(`reader ${vm}`) }))
    .sort((a, b) => a.draw - b.draw || (a.vm < b.vm ? -1 : 1));
  return ranked.slice(0, count).map(({ vm }) => vm);
}
