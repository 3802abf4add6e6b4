/**
 * Checks the frames of an attempt. Only the next frame of the current attempt
 * is relayed; others are dropped, or reveal that a frame is missing.
 */
import { type AnswerFrame } from "../model/mod.ts";

/** Identity of the next frame to relay. */
export interface ExpectedFrame {
  readonly requestId: string;
  readonly attempt: number;
  readonly index: number;
}

/** Result of a frame check; all but `relay` drop the frame. */
export type FrameVerdict =
  | "relay"
  /** Belongs to another request. */
  | "crossed"
  /** Belongs to an earlier attempt. */
  | "late"
  | "duplicate"
  /** Frames before this one are missing. */
  | "gap";

/** Compares a frame with the expected one. */
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
