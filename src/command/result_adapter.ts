/**
 * Conversion between result types: the layers below use neverthrow, the
 * settings checker and the command line use ts-results-es.
 */
import { type Result as NeverthrowResult } from "neverthrow";
import { Err, Ok, type Result } from "ts-results-es";

/** Converts a neverthrow result to ts-results-es. */
export function fromNeverthrow<T, E>(
  result: NeverthrowResult<T, E>,
): Result<T, E> {
  return result.match<Result<T, E>>(
    (value) => Ok(value),
    (error) => Err(error),
  );
}
