/**
 * The entry VMs that callers of each place use, as the system last told them;
 * asked again after each max age, from any VM that answers.
 */
import { request } from "undici";
import { z } from "zod";
import { type Cluster } from "./cluster.ts";

const ASK_TIMEOUT_MS = 2000;
const DEFAULT_MAX_AGE_MS = 500;
const HANDED_OUT_TRIES = 2;
const MAX_START = 1000;

const entriesSchema = z.object({
  entries: z.array(z.object({ vm: z.string() })),
  maxAgeMs: z.number(),
});

/** Keeps the entry VMs of each place. */
export class EntryDirectory {
  readonly #cluster: Cluster;
  readonly #lists = new Map<string, readonly string[]>();
  readonly #timers = new Set<NodeJS.Timeout>();
  #isClosed = false;

  constructor(cluster: Cluster) {
    this.#cluster = cluster;
  }

  /** Asks for the entry VMs of every place and goes on asking. */
  async start(): Promise<void> {
    const { places } = this.#cluster.site.plan;
    await Promise.all(places.map(({ place }) => this.#refresh(place)));
  }

  /** The names handed out for a place, near first. */
  namesOf(place: string): readonly string[] {
    const names = this.#lists.get(place) ?? [];
    return names.length > 0 ? names : [...this.#cluster.vms.keys()];
  }

  /**
   * Chooses entry VMs for one request: two of those handed out, then any, since
   * a caller that reaches neither asks all that it has ever heard of.
   */
  choices(place: string, random: number): (index: number) => string {
    const start = Math.floor(random * MAX_START);
    return (index) => {
      const names = index < HANDED_OUT_TRIES
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
      const answer = await askEntries(vm.callerAddress, place);
      if (answer === undefined) continue;
      maxAgeMs = answer.maxAgeMs;
      const known = answer.entries.map((entry) => entry.vm)
        .filter((name) => this.#cluster.vms.has(name));
      this.#lists.set(place, known);
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

async function askEntries(
  address: string,
  place: string,
): Promise<z.infer<typeof entriesSchema> | undefined> {
  try {
    const answer = await request(
      `http://${address}/v1/entries?place=${place}`,
      { headersTimeout: ASK_TIMEOUT_MS, bodyTimeout: ASK_TIMEOUT_MS },
    );
    return entriesSchema.parse(await answer.body.json());
  } catch {
    return undefined;
  }
}
