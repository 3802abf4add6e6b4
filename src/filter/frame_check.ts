/**
 * Checks the frames of an attempt against what was asked for. Only the very
 * next frame of the very attempt is relayed; anything else is dropped, or shows
 * that a frame is missing.
 */
import { type AnswerFrame } from "../model/mod.ts";

/** What the next frame must be. */
export interface ExpectedFrame {
  readonly requestId: string;
  readonly attempt: number;
  readonly index: number;
}

/** What is done with a frame. */
export type FrameVerdict =
  | "relay"
  /** Belongs to another request. */
  | "crossed"
  /** Belongs to an earlier attempt. */
  | "late"
  | "duplicate"
  /** Frames before it are missing. */
  | "gap";

/** Judges one frame. */
export function checkFrame(
  expected: ExpectedFrame,
  frame: AnswerFrame,
): FrameVerdict {
  if (frame.requestId !== expected.requestId) return "crossed";
  if (frame.attempt !== expected.attempt) return "late";
  if (frame.index < expected.index) return "duplicate";
  if (frame.index > expected.index) return "gap";
  return "relay";
}
