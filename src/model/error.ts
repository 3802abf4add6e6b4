/** Errors of the model. */

/** A value violates a rule of the model; the message states the rule. */
export class ModelError extends Error {
  override readonly name = "ModelError";
}
