import { type CompleteAnswer } from "../callers/caller_exchange.ts";
import { type AnswerHead } from "../protocol.ts";

/** The outcome of an attempt. */
export type AttemptOutcome =
  | { readonly kind: "answer"; readonly answer: CompleteAnswer }
  | { readonly kind: "stream_end"; readonly head: AnswerHead }
  /** The answer is valid, but `onHead` dropped it. */
  | { readonly kind: "dropped" }
  /** The server or VM states that the request has not run. */
  | { readonly kind: "not_run"; readonly cause?: string }
  | {
    readonly kind: "fault";
    readonly isUnsent: boolean;
    readonly cause: string;
  };
