/** Faults of the communication between the system's own processes. */

/** Kind of a fault. */
export type WireFault =
  | "frame_too_large"
  | "frame_malformed"
  | "refused"
  | "timeout"
  | "closed"
  | "unreachable"
  | "queue_full"
  | "unknown_peer";

/** A fault of a frame, a connection or a query. */
export class WireError extends Error {
  override readonly name = "WireError";

  readonly fault: WireFault;

  constructor(fault: WireFault, message: string) {
    super(message);
    this.fault = fault;
  }
}
