/**
 * The cascade over models of one service: which model answers first, and
 * whether its answer is dropped for one of a larger model. A model's own
 * confidence decides. An escalation goes straight to the largest model, so that
 * a request costs at most one answer in vain, and is one arrival more against
 * the budget of repeats.
 */

/** Confidence below which an answer is not good enough. */
export const MIN_CONFIDENCE = 55;

/** Where a request stands on its ladder. */
export interface ModelEscalationQuery {
  /** Smallest first. */
  readonly models: readonly string[];
  readonly model: string;
  readonly confidence: number | undefined;
}

/** The model that answers first. */
export function firstModel(models: readonly string[]): string | undefined {
  return models[0];
}

/** The model that answers in place of a weak answer, if one should. */
export function nextModel(query: ModelEscalationQuery): string | undefined {
  const { models, model, confidence } = query;
  if (confidence === undefined || confidence >= MIN_CONFIDENCE) {
    return undefined;
  }
  const largest = models.at(-1);
  return models.includes(model) && model !== largest ? largest : undefined;
}
