/**
 * Generates the callers' requests of a deployment from its request mix and a
 * seed: workspace, session and kind of each request.
 */
import { createRandom } from "../standin/mod.ts";
import { type CallerRequest } from "./caller.ts";
import { type MixEntry, type SitePlan } from "./site_plan.ts";

const SESSIONS_PER_WORKSPACE = 4;
const FILLER = "Testimony of the river, the field and the season. ";

/** Options of a workload. */
export interface WorkloadOptions {
  readonly plan: SitePlan;
  readonly seed: number;
  readonly deadlineMs: number;
  /** Prefix that keeps the request ids of two workloads apart. */
  readonly name: string;
}

/** A reproducible sequence of requests. */
export class Workload {
  readonly #options: WorkloadOptions;
  readonly #random: () => number;
  #count = 0;

  constructor(options: WorkloadOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
  }

  /** Returns a uniform random number in [0, 1) from the workload's seed. */
  random(): number {
    return this.#random();
  }

  /** Generates the next request. */
  next(): CallerRequest {
    const { plan, deadlineMs, name } = this.#options;
    this.#count += 1;
    const requestId = `${name}-${this.#count}`;
    const mix = this.#pick(plan.mix);
    const workspace = this.#pick(plan.workspaces).path;
    return {
      requestId,
      kind: mix.kind === "model" ? "model" : "service",
      requestClass: mix.requestClass,
      workspace,
      session: this.#sessionOf(mix),
      key: mix.kind === "registration" ? `key-${requestId}` : undefined,
      service: mix.service,
      prompt: promptOf(mix, `${workspace} ${this.#count % 7}`),
      maxTokens: mix.maxTokens,
      deadlineMs,
    };
  }

  #sessionOf(mix: MixEntry): string | undefined {
    if (this.#random() >= mix.inSessionShare) return undefined;
    const index = Math.floor(this.#random() * SESSIONS_PER_WORKSPACE);
    return `${this.#options.name}-s${index}`;
  }

  #pick<Item extends { readonly share: number }>(items: readonly Item[]): Item {
    let left = this.#random() *
      items.reduce((sum, item) => sum + item.share, 0);
    for (const item of items) {
      left -= item.share;
      if (left <= 0) return item;
    }
    const last = items.at(-1);
    if (last === undefined) throw new Error("cannot pick from an empty list");
    return last;
  }
}

function promptOf(mix: MixEntry, subject: string): string {
  const fillerCount = Math.ceil(mix.inputLetters / FILLER.length);
  return `${FILLER.repeat(fillerCount)}${subject}`;
}
