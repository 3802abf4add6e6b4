/** The drains of backend servers that operators ordered. */

/** What the operators have drained. */
export interface Drains {
  readonly places: readonly string[];
  readonly servers: readonly string[];
}
