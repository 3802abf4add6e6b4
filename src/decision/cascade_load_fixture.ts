/**
 * A load under which half of a service's engines are gone: prompts of three
 * routes queue at the engines left, urgent ones first, and answers of low
 * confidence ask for the larger model. Virtual time, without a network. Counts
 * what callers get.
 */
import { type Random } from "../model/mod.ts";
import { seededRandom } from "./membership_fixture.ts";
import { type EscalationLoad } from "./escalation_pressure.ts";
import { nextModel } from "./model_escalation.ts";

const MODELS = ["small", "large"];
const STEP_MS = 10;
const DURATION_MS = 60_000;
const MAX_CONFIDENCE = 100;

interface SimulatedRoute {
  readonly priority: number;
  readonly requestsPerS: number;
  /** Time that a prompt takes on an engine, by model. */
  readonly prefillMs: { readonly small: number; readonly large: number };
  readonly targetMs: number;
  readonly timeoutMs: number;
}

/** A large document, a short question and a small classification. */
const ROUTES: readonly SimulatedRoute[] = [
  {
    priority: 1,
    requestsPerS: 10,
    prefillMs: { small: 40, large: 400 },
    targetMs: 4000,
    timeoutMs: 25_000,
  },
  {
    priority: 0,
    requestsPerS: 10,
    prefillMs: { small: 5, large: 50 },
    targetMs: 2000,
    timeoutMs: 20_000,
  },
  {
    priority: 2,
    requestsPerS: 15,
    prefillMs: { small: 15, large: 150 },
    targetMs: 3000,
    timeoutMs: 5000,
  },
];

interface Prompt {
  readonly route: SimulatedRoute;
  readonly sentAtMs: number;
  readonly confidence: number;
  readonly model: "small" | "large";
}

/** What the callers of one route got. */
export interface RouteResult {
  readonly priority: number;
  requestCount: number;
  /** Answers that began within the target. */
  timelyCount: number;
  /** Requests without an answer at their deadline. */
  unservedCount: number;
  /** Answers of the larger model. */
  largeCount: number;
}

/** Plays the load on a number of engines. */
export function playCascade(options: CascadeOptions): RouteResult[] {
  const load = new CascadeLoad(options);
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) load.step(nowMs);
  return load.results;
}

/** The number of engines, and how much load takes off the escalations. */
export interface CascadeOptions {
  readonly seed: number;
  readonly engineCount: number;
  readonly pressureOf: (load: EscalationLoad) => number;
}

class CascadeLoad {
  readonly results = ROUTES.map(({ priority }): RouteResult => ({
    priority,
    requestCount: 0,
    timelyCount: 0,
    unservedCount: 0,
    largeCount: 0,
  }));
  readonly #options: CascadeOptions;
  readonly #random: Random;
  readonly #queues: Prompt[][];
  readonly #freeAtMs: number[];

  constructor(options: CascadeOptions) {
    this.#options = options;
    this.#random = seededRandom(options.seed);
    const { engineCount } = options;
    this.#queues = Array.from({ length: engineCount }, () => []);
    this.#freeAtMs = this.#queues.map(() => 0);
  }

  /** Sends the requests of one step, and begins prompts at free engines. */
  step(nowMs: number): void {
    for (const [index, route] of ROUTES.entries()) {
      if (this.#random() >= route.requestsPerS * STEP_MS / 1000) continue;
      (this.results[index] as RouteResult).requestCount += 1;
      const confidence = this.#random() * MAX_CONFIDENCE;
      this.#send({ route, sentAtMs: nowMs, confidence, model: "small" });
    }
    for (const [engine, queue] of this.#queues.entries()) {
      if (nowMs < (this.#freeAtMs[engine] ?? 0)) continue;
      const prompt = takeMostUrgent(queue);
      if (prompt === undefined) continue;
      const readAtMs = nowMs + prompt.route.prefillMs[prompt.model];
      const isRead = this.#read(prompt, readAtMs);
      if (isRead) this.#freeAtMs[engine] = readAtMs;
    }
  }

  #send(prompt: Prompt): void {
    shortest(this.#queues).push(prompt);
  }

  /** Answers or escalates; returns false for a prompt past its deadline. */
  #read(prompt: Prompt, readAtMs: number): boolean {
    const { route, model } = prompt;
    const result = this.results[ROUTES.indexOf(route)] as RouteResult;
    const ageMs = readAtMs - prompt.sentAtMs;
    if (ageMs > route.timeoutMs) {
      result.unservedCount += 1;
      return false;
    }
    if (model === "small" && this.#escalates(prompt, ageMs)) {
      this.#send({ ...prompt, model: "large" });
      return true;
    }
    if (ageMs <= route.targetMs) result.timelyCount += 1;
    if (model === "large") result.largeCount += 1;
    return true;
  }

  #escalates({ route, model, confidence }: Prompt, ageMs: number): boolean {
    const pressureShare = this.#options.pressureOf({
      waitMs: waitOf(shortest(this.#queues)),
      prefillMs: route.prefillMs.large,
      targetMs: route.targetMs,
      timeLeftMs: route.timeoutMs - ageMs,
      priority: route.priority,
    });
    const answer = { models: MODELS, model, confidence, pressureShare };
    return nextModel(answer) !== undefined;
  }
}

function shortest(queues: readonly Prompt[][]): Prompt[] {
  const waits = queues.map(waitOf);
  return queues[waits.indexOf(Math.min(...waits))] as Prompt[];
}

function waitOf(queue: readonly Prompt[]): number {
  return queue.reduce(
    (sum, { route, model }) => sum + route.prefillMs[model],
    0,
  );
}

function takeMostUrgent(queue: Prompt[]): Prompt | undefined {
  let index = 0;
  for (const [candidate, prompt] of queue.entries()) {
    const first = queue[index];
    if (first === undefined) break;
    if (prompt.route.priority < first.route.priority) index = candidate;
  }
  return queue.splice(index, 1)[0];
}
