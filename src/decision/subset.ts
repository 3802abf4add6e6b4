/**
 * The subset of backend servers that one VM works with. With thousands of
 * servers no VM can follow the load of all, so each takes its share of the near
 * ones by rendezvous hash, and further places only where the near ones fall
 * short. The hash does not depend on the other VMs, so their coming and going
 * moves nothing.
 */
import { rendezvous, type Vm } from "../model/mod.ts";

/** How large a subset is. */
export interface SubsetLimits {
  /** The least number of servers, where that many exist. */
  readonly floorCount: number;
  /** The number of VMs that each server should be known to. */
  readonly coverageCount: number;
}

/** Limits under which about one server in 3,000 is in no VM's subset. */
export const DEFAULT_SUBSET_LIMITS: SubsetLimits = {
  floorCount: 16,
  coverageCount: 8,
};

/** What a subset is chosen from. */
export interface SubsetInput {
  readonly self: string;
  /** Backend servers of one service that may take work. */
  readonly servers: readonly Vm[];
  /** The number of entry VMs in a place. */
  readonly vmCountOf: (place: string) => number;
  /** Places from near to far, this VM's own first. */
  readonly places: readonly string[];
  readonly limits: SubsetLimits;
}

/** The servers to work with; a further place only below the floor. */
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
