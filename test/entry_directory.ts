/**
 * The entry VMs that the system advertises to the callers of each place. The
 * lists are refreshed after each max age, from the first VM that answers.
 */
import { performance } from "node:perf_hooks";
import { request } from "undici";
import { z } from "zod";
import { type Cluster } from "./cluster.ts";

const REQUEST_TIMEOUT_MS = 2000;
const DEFAULT_MAX_AGE_MS = 500;
const ADVERTISED_ATTEMPTS = 2;
const START_RANGE = 1000;

const entriesSchema = z.object({
  entries: z.array(z.object({ vm: z.string() })),
  maxAgeMs: z.number(),
});

/** A list that a VM answered. */
export interface ReadList {
  readonly place: string;
  /** The VM that answered. */
  readonly vm: string;
  readonly askedMs: number;
  readonly answeredMs: number;
  readonly names: readonly string[];
}

/** Caches the advertised entry VMs of each place. */
export class EntryDirectory {
  /** Every list, in order of its arrival. */
  readonly readLists: ReadList[] = [];
  readonly #cluster: Cluster;
  readonly #lists = new Map<string, readonly string[]>();
  readonly #timers = new Set<NodeJS.Timeout>();
  #isClosed = false;

  constructor(cluster: Cluster) {
    this.#cluster = cluster;
  }

  /** Fetches the entry VMs of every place and keeps refreshing them. */
  async start(): Promise<void> {
    const { places } = this.#cluster.site.plan;
    await Promise.all(places.map(({ place }) => this.#refresh(place)));
  }

  /** Returns the VMs advertised for a place, nearest first. */
  namesOf(place: string): readonly string[] {
    const names = this.#lists.get(place) ?? [];
    return names.length > 0 ? names : [...this.#cluster.vms.keys()];
  }

  /**
   * Returns the entry VM address for each attempt of one request: two of the
   * advertised VMs, then any VM, because a caller that reaches neither falls
   * back to every VM it has learned of.
   */
  choices(place: string, random: number): (index: number) => string {
    const start = Math.floor(random * START_RANGE);
    return (index) => {
      const names = index < ADVERTISED_ATTEMPTS
        ? this.namesOf(place)
        : [...this.#cluster.vms.keys()];
      const name = names[(start + index) % names.length] ?? "";
      return this.#cluster.vm(name).callerAddress;
    };
  }

  close(): void {
    this.#isClosed = true;
    for (const timer of this.#timers) clearTimeout(timer);
  }

  async #refresh(place: string): Promise<void> {
    let maxAgeMs = DEFAULT_MAX_AGE_MS;
    for (const vm of this.#cluster.vms.values()) {
      const askedMs = performance.now();
      const answer = await fetchEntries(vm.callerAddress, place);
      if (answer === undefined) continue;
      maxAgeMs = answer.maxAgeMs;
      const names = answer.entries.map((entry) => entry.vm)
        .filter((name) => this.#cluster.vms.has(name));
      this.#lists.set(place, names);
      const answeredMs = performance.now();
      this.readLists.push({ place, vm: vm.name, askedMs, answeredMs, names });
      break;
    }
    if (this.#isClosed) return;
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      void this.#refresh(place);
    }, maxAgeMs);
    this.#timers.add(timer);
  }
}

async function fetchEntries(
  address: string,
  place: string,
): Promise<z.infer<typeof entriesSchema> | undefined> {
  try {
    const answer = await request(
      `http://${address}/v1/entries?place=${place}`,
      { headersTimeout: REQUEST_TIMEOUT_MS, bodyTimeout: REQUEST_TIMEOUT_MS },
    );
    return entriesSchema.parse(await answer.body.json());
  } catch {
    return undefined;
  }
}
