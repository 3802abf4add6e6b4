/**
 * One attempt to have a request answered: at a backend server, or through
 * another VM where this one reaches no server.
 */
import { type HealthEvent } from "../../decision/mod.ts";
import { type RequestMemory } from "../callers/answer_memory.ts";
import { type AttemptOutcome } from "./attempt_outcome.ts";
import { type AnswerHead } from "../protocol.ts";

/** A running attempt. */
export interface Attempt {
  /** The backend server's id or the VM's name. */
  readonly targetId: string;
  /** The version of the server; `undefined` where another VM chooses it. */
  readonly version: string | undefined;
  /** Whether the relay has been attached to this attempt's stream. */
  isAttached: boolean;
  /** The head of the answer, once it is received. */
  readonly head: AnswerHead | undefined;
  /** The median pause of the answer; undefined after too few parts. */
  readonly medianPauseMs: number | undefined;
  /** Whether the answer waits until the VM has memory for it. */
  readonly isWaiting: boolean;
  /** Whether no byte of the request can have been sent yet. */
  readonly isUnsent: boolean;
  /** Cancels the attempt; the event, if any, counts for the target's health. */
  cancel(event: HealthEvent | undefined): void;
  /** Stops reading the answer until `resume` is called. */
  pause(): void;
  resume(): void;
}

/** An answer that waits for memory. */
export interface WaitingAnswer {
  readonly head: AnswerHead;
  readonly statedBytes: number | undefined;
}

/** What an attempt reports, and the memory for its answer. */
export interface AttemptListeners {
  readonly memory: RequestMemory;
  /** Decides whether to relay the stream that begins with this head. */
  readonly onHead: (head: AnswerHead) => "relay" | "drop";
  /**
   * Decides whether an answer that would have to wait for memory is passed on
   * as it comes, like a stream.
   */
  readonly onWait: (waiting: WaitingAnswer) => boolean;
  /** Receives the bytes of a relayed stream. */
  readonly onData: (chunk: Buffer) => void;
  /** Called once, unless the attempt is cancelled. */
  readonly onOutcome: (outcome: AttemptOutcome) => void;
  /** Called after an exception while the answer was handled. */
  readonly onException: (error: Error) => void;
}
