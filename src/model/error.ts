/** Errors of the model: a value that breaks one of its rules. */

/** A value that breaks a rule of the model; the message names the rule. */
export class ModelError extends Error {
  override readonly name = "ModelError";
}
