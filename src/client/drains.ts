/** Drains of backend servers. */

/** Places and servers that operators have drained. */
export interface Drains {
  readonly places: readonly string[];
  readonly servers: readonly string[];
}
