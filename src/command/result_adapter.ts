/**
 * The border between the two result types: neverthrow in the product's layers,
 * ts-results-es in the settings checker and the command line.
 */
import { type Result as LayerResult } from "neverthrow";
import { Err, Ok, type Result } from "ts-results-es";

/** The same result as a value of ts-results-es. */
export function fromNeverthrow<T, E>(result: LayerResult<T, E>): Result<T, E> {
  return result.match<Result<T, E>>(
    (value) => Ok(value),
    (error) => Err(error),
  );
}
