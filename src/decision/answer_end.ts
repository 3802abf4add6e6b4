/**
 * Judges whether an answer ended as its server meant it to. Framing marks an end.
 * Without it only the close of the connection shows, which the end of a process
 * closes as well, whether or not it was planned: a server that leaves may exit in
 * the middle of its last answers. So an unmarked end is believed only of a process
 * that lives on, and of a stream that may run again only once a second run agrees.
 */

/** What is known of the end of an answer. */
export interface AnswerEnd {
  readonly isMarked: boolean;
  /** Whether the sender accepted a connection after the end. */
  readonly isSenderAlive: boolean;
}

/** Whether the sender of an answer has ended it, and not just gone. */
export function isMeantEnd({ isMarked, isSenderAlive }: AnswerEnd): boolean {
  return isMarked || isSenderAlive;
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
