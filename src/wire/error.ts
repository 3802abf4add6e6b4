/** Faults between the system's own processes. */

/** What went wrong. */
export type WireFault =
  | "frame_too_large"
  | "frame_malformed"
  | "refused"
  | "timeout"
  | "closed"
  | "unreachable"
  | "queue_full"
  | "unknown_peer";

/** A fault of a frame, a connection or an exchange. */
export class WireError extends Error {
  override readonly name = "WireError";

  /** What went wrong. */
  readonly fault: WireFault;

  constructor(fault: WireFault, message: string) {
    super(message);
    this.fault = fault;
  }
}
