/** Exit statuses of the command line; scripts rely on them. */

/** Exit status by outcome. */
export const EXIT_STATUS = {
  /** The edit conflicts with an earlier one; nothing was changed. */
  conflict: 3,
  /** The edit is accepted, but was not in force everywhere at the timeout. */
  notInForce: 4,
  /** Neither confirmed nor refused: the edit may be in the log. */
  unknown: 5,
  /** A file cannot be read. */
  badInput: 66,
  /** The log service or the VMs cannot be reached; nothing was changed. */
  unavailable: 69,
  /** The settings are invalid; nothing was changed. */
  faultySettings: 78,
} as const;

/** Exit status and message of a failed command. */
export interface CommandFault {
  readonly status: number;
  /** Message, one or more lines. */
  readonly lines: readonly string[];
}

/** Creates a fault from one or more message lines. */
export function faultOf(
  outcome: keyof typeof EXIT_STATUS,
  ...lines: string[]
): CommandFault {
  return { status: EXIT_STATUS[outcome], lines };
}
