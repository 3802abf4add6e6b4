/**
 * Decides when a started VM may be advertised to callers. It needs the current
 * settings, the load reports of its backend servers, since it would otherwise
 * refuse requests, and its peers, since it would otherwise advertise only its
 * own address to callers.
 */
import { type Vm } from "../model/mod.ts";

/** Time after which a VM without peers serves callers alone. */
export const JOIN_TIMEOUT_MS = 5000;

/** Progress of a starting VM. */
export interface StartProgress {
  /** Whether the journal has been current at any time since the start. */
  readonly wasCurrent: boolean;
  /** Latest VM list of the platform; `undefined` until the first is read. */
  readonly listedVms: readonly Vm[] | undefined;
  /**
   * Whether each engine of this VM's subset was polled for a load report at least
   * once; a failed poll counts.
   */
  readonly areEnginesPolled: boolean;
  /** Number of VMs present in the peers' membership, including this one. */
  readonly presentCount: number;
  readonly sinceStartMs: number;
}

/** Returns whether the VM may be advertised to callers. */
export function isReadyForTraffic(progress: StartProgress): boolean {
  const { wasCurrent, listedVms, presentCount, sinceStartMs } = progress;
  if (!wasCurrent || listedVms === undefined) return false;
  if (!progress.areEnginesPolled) return false;
  if (presentCount > 1 || sinceStartMs > JOIN_TIMEOUT_MS) return true;
  return listedVms.filter((vm) => vm.kind === "entry").length === 1;
}
