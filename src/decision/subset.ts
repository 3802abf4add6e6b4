/**
 * The subset of backend servers that one VM uses. With thousands of servers a
 * VM can't track the load of all, so it takes a share of the near ones by
 * rendezvous hashing, and servers of more distant places only if the near ones
 * are too few. The hash doesn't depend on the other VMs, so a subset isn't
 * reshuffled when VMs are added or removed.
 */
import { rendezvous, type Vm } from "../model/mod.ts";

export interface SubsetLimits {
  /** Minimum size of a subset, if that many servers exist. */
  readonly floorCount: number;
  /** Mean number of VMs that should have each server in their subset. */
  readonly coverageCount: number;
}

/** Limits under which about one server in 3,000 is in no VM's subset. */
export const DEFAULT_SUBSET_LIMITS: SubsetLimits = {
  floorCount: 16,
  coverageCount: 8,
};

export interface SubsetInput {
  readonly self: string;
  /** Backend servers of one service that may take work. */
  readonly servers: readonly Vm[];
  /** Returns the number of entry VMs in a place. */
  readonly vmCountOf: (place: string) => number;
  /** Places from near to far, this VM's own first. */
  readonly places: readonly string[];
  readonly limits: SubsetLimits;
}

/** Chooses the subset; uses more distant places only below `floorCount`. */
export function chooseSubset(input: SubsetInput): Vm[] {
  const chosen: Vm[] = [];
  for (const place of input.places) {
    const missingCount = input.limits.floorCount - chosen.length;
    if (chosen.length > 0 && missingCount <= 0) break;
    const near = input.servers.filter((server) => server.place === place);
    const count = Math.max(missingCount, shareOf(place, near.length, input));
    chosen.push(
      ...rendezvous(near, { key: input.self, count, nameOf: (vm) => vm.vm }),
    );
  }
  return chosen;
}

function shareOf(
  place: string,
  serverCount: number,
  { vmCountOf, limits }: SubsetInput,
): number {
  const vmCount = Math.max(1, vmCountOf(place));
  return Math.ceil(limits.coverageCount * serverCount / vmCount);
}
