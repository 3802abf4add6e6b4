/** Exit statuses of the command line, so that scripts can tell outcomes. */

/** What a status says. */
export const EXIT_STATUS = {
  /** Another operator's edit came first; nothing was changed. */
  conflict: 3,
  /** The edit is accepted, but not in force everywhere in the time given. */
  notInForce: 4,
  /** The edit may be in the log; it was neither confirmed nor refused. */
  unknown: 5,
  /** A file cannot be read. */
  badInput: 66,
  /** The log service or the VMs cannot be reached; nothing was changed. */
  unavailable: 69,
  /** Settings break their rules; nothing was changed. */
  faultySettings: 78,
} as const;

/** Why a command ends without success. */
export interface CommandFault {
  readonly status: number;
  /** One line or several. */
  readonly lines: readonly string[];
}

/** A fault of one line or several. */
export function faultOf(
  outcome: keyof typeof EXIT_STATUS,
  ...lines: string[]
): CommandFault {
  return { status: EXIT_STATUS[outcome], lines };
}
