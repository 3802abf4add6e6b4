/**
 * The callers' requests of a deployment, drawn from its mix by a seed: who
 * asks, in which session, for what kind of answer.
 */
import { createRandom } from "../standin/mod.ts";
import { type CallerRequest } from "./caller.ts";
import { type MixEntry, type SitePlan } from "./site_plan.ts";

const SESSIONS_OF_WORKSPACE = 4;
const FILLER = "Testimony of the river, the field and the season. ";

/** How a workload is drawn. */
export interface WorkloadOptions {
  readonly plan: SitePlan;
  readonly seed: number;
  readonly deadlineMs: number;
  /** Prefix of request ids, so that two workloads never share one. */
  readonly name: string;
}

/** Draws requests one after another. */
export class Workload {
  readonly #options: WorkloadOptions;
  readonly #random: () => number;
  #count = 0;

  constructor(options: WorkloadOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
  }

  /** A uniform number of this workload's own source. */
  random(): number {
    return this.#random();
  }

  /** The next request. */
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
    const index = Math.floor(this.#random() * SESSIONS_OF_WORKSPACE);
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
    if (last === undefined) throw new Error("nothing to pick from");
    return last;
  }
}

function promptOf(mix: MixEntry, subject: string): string {
  const repeats = Math.ceil(mix.inputLetters / FILLER.length);
  return `${FILLER.repeat(repeats)}${subject}`;
}
