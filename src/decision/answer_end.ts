/**
 * Judges whether an answer ended as its server meant it to. Framing marks an end.
 * Without it only the close of the connection shows, which the end of a process
 * closes as well, whether or not it was planned: a server that leaves may exit in
 * the middle of its last answers. So an unmarked end is believed only of a process
 * that lives on, and of a stream that may run again only once a second run agrees.
 * That a process accepts connections proves nothing of an end that may be seconds
 * old by then, as it may have been started since.
 */

/** What is known of an end that the answer's framing doesn't mark. */
export interface UnmarkedEnd {
  /** Whether it was read about when it was sent. */
  readonly isReadInTime: boolean;
  /** Whether a connection to the sender was accepted after it was read. */
  readonly isSenderListening: boolean;
  /** Whether another process is known to have taken the sender's place. */
  readonly isSenderReplaced: boolean;
}

/**
 * `meant`: by the sender, as the end of its answer. `sender_ended`: the sender's
 * process has ended. `unproved`: it may have.
 */
export type UnmarkedEndVerdict = "meant" | "sender_ended" | "unproved";

/** Judges the unmarked end of an answer. */
export function judgeUnmarkedEnd(
  { isReadInTime, isSenderListening, isSenderReplaced }: UnmarkedEnd,
): UnmarkedEndVerdict {
  if (!isSenderListening || isSenderReplaced) return "sender_ended";
  return isReadInTime ? "meant" : "unproved";
}

/** What is known of a stream when its sender has ended the answer. */
export interface StreamEndEvidence {
  readonly isMarked: boolean;
  /** Whether a part of an event has arrived. */
  readonly isInsideEvent: boolean;
  /** Whether the caller has an event, or has named one. */
  readonly hasEvent: boolean;
  /** Whether the answer continues what the caller got before. */
  readonly isContinuation: boolean;
}

/** `unconfirmed`: complete if another run ends after the same event. */
export type StreamEnd = "complete" | "unconfirmed" | "broken";

/** Judges the end of a stream by the run that has just ended it. */
export function judgeStreamEnd(
  { isMarked, isInsideEvent, hasEvent, isContinuation }: StreamEndEvidence,
): StreamEnd {
  if (isInsideEvent || !isContinuation) return "broken";
  if (isMarked) return "complete";
  return hasEvent ? "unconfirmed" : "broken";
}

/**
 * Whether a stream is complete whose unconfirmed end no further run can confirm.
 * If nothing has been sent to the caller, it has resumed after an event that may
 * be the last one, and where servers never mark an end it would never finish.
 */
export function isLastEnd(
  { isBegun, neverMarksEnds }: {
    readonly isBegun: boolean;
    readonly neverMarksEnds: boolean;
  },
): boolean {
  return !isBegun && neverMarksEnds;
}
