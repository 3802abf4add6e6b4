/** A mechanism of the gateway, for the check that a test needs it. */

/** A mechanism, and how it is taken out. */
export interface Mechanism {
  readonly name: string;
  readonly file: string;
  /** Occurs exactly once in the file. */
  readonly source: string;
  readonly replacement: string;
  readonly tests: readonly string[];
}
