/**
 * A load under which half of a service's engines are gone: prompts of three
 * routes queue at the engines left, urgent ones first, and answers of low
 * confidence ask for the larger model. Virtual time, without a network. Counts
 * what callers get.
 */
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
export function playCascade(options: {
  readonly seed: number;
  readonly engineCount: number;
  readonly pressureOf: (load: EscalationLoad) => number;
}): RouteResult[] {
  const random = seededRandom(options.seed);
  const queues = Array.from(
    { length: options.engineCount },
    (): Prompt[] => [],
  );
  const freeAtMs = queues.map(() => 0);
  const results = ROUTES.map(({ priority }): RouteResult => ({
    priority,
    requestCount: 0,
    timelyCount: 0,
    unservedCount: 0,
    largeCount: 0,
  }));
  const send = (prompt: Prompt): void => {
    shortest(queues).push(prompt);
  };
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
    for (const [index, route] of ROUTES.entries()) {
      if (random() >= route.requestsPerS * STEP_MS / 1000) continue;
      (results[index] as RouteResult).requestCount += 1;
      const confidence = random() * MAX_CONFIDENCE;
      send({ route, sentAtMs: nowMs, confidence, model: "small" });
    }
    for (const [engine, queue] of queues.entries()) {
      if (nowMs < (freeAtMs[engine] ?? 0)) continue;
      const prompt = takeMostUrgent(queue);
      if (prompt === undefined) continue;
      const result = results[ROUTES.indexOf(prompt.route)] as RouteResult;
      const { route, sentAtMs, confidence, model } = prompt;
      const readAtMs = nowMs + route.prefillMs[model];
      const ageMs = readAtMs - sentAtMs;
      if (ageMs > route.timeoutMs) {
        result.unservedCount += 1;
        continue;
      }
      freeAtMs[engine] = readAtMs;
      const next = model === "large" ? undefined : nextModel({
        models: MODELS,
        model,
        confidence,
        pressureShare: options.pressureOf({
          waitMs: waitOf(shortest(queues)),
          prefillMs: route.prefillMs.large,
          targetMs: route.targetMs,
          timeLeftMs: route.timeoutMs - ageMs,
          priority: route.priority,
        }),
      });
      if (next !== undefined) {
        send({ ...prompt, model: "large" });
        continue;
      }
      if (ageMs <= route.targetMs) result.timelyCount += 1;
      if (model === "large") result.largeCount += 1;
    }
  }
  return results;
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
