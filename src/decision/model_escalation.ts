/**
 * The cascade over the models of one service: the model that answers first, and
 * whether its answer is discarded for one from a larger model. The decision
 * uses the confidence that the model reports. An escalation goes straight to
 * the largest model, so a request discards at most one answer and adds only one
 * arrival to the retry budget.
 */

/** Without load, answers with a lower confidence escalate. */
export const MIN_CONFIDENCE = 55;

/** A request's current model, its confidence and the escalation order. */
export interface ModelEscalationQuery {
  /** Escalation order, smallest first. */
  readonly models: readonly string[];
  readonly model: string;
  /** Absent if the model reported none. */
  readonly confidence: number | undefined;
  /** Share of the confidence threshold that load takes off, from 0 to 1. */
  readonly pressureShare: number;
}

/** Returns the model that answers first. */
export function firstModel(models: readonly string[]): string | undefined {
  return models[0];
}

/** Returns the model to escalate to; undefined if the answer is used. */
export function nextModel(query: ModelEscalationQuery): string | undefined {
  const { models, model, confidence, pressureShare } = query;
  const minConfidence = MIN_CONFIDENCE * (1 - pressureShare);
  if (confidence === undefined || confidence >= minConfidence) {
    return undefined;
  }
  const largest = models.at(-1);
  return models.includes(model) && model !== largest ? largest : undefined;
}
