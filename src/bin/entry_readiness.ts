/**
 * When a VM that has started may be handed out: it holds what is in force,
 * knows what its backend servers run, as a request would otherwise be refused,
 * and knows its peers, so that the addresses it hands out are more than its own.
 */
import { type Vm } from "../model/mod.ts";

/** Without a peer for this long a VM goes on alone. */
export const JOIN_TIMEOUT_MS = 5000;

/** What a VM that starts has learnt so far. */
export interface StartProgress {
  /** Whether the journal was current at any time since the start. */
  readonly wasCurrent: boolean;
  /** The platform's list as last read; `undefined` before the first. */
  readonly listedVms: readonly Vm[] | undefined;
  /** Whether each listed engine has reported or was asked in vain. */
  readonly areEnginesPolled: boolean;
  /** VMs that are present as far as the peers know, with this one. */
  readonly presentCount: number;
  readonly sinceStartMs: number;
}

/** Whether callers may be sent to the VM. */
export function isReadyForTraffic(progress: StartProgress): boolean {
  const { wasCurrent, listedVms, presentCount, sinceStartMs } = progress;
  if (!wasCurrent || listedVms === undefined) return false;
  if (!progress.areEnginesPolled) return false;
  if (presentCount > 1 || sinceStartMs > JOIN_TIMEOUT_MS) return true;
  return listedVms.filter((vm) => vm.kind === "entry").length === 1;
}
