/**
 * Whether a VM reaches any backend server, from its own connections. A VM may
 * lose its links to all servers while callers, the store and the other VMs
 * still reach it. A few servers that fail one after the other, without one that
 * is reached in between, are taken for that; the first that is reached ends it.
 */

/** What this VM's connections say; immutable. */
export interface ServerReach {
  /** Servers not reached since a server was reached last. */
  readonly unreachedIds: ReadonlySet<string>;
  /** Since when the VM is cut off; `undefined` if it is not. */
  readonly cutOffSinceMs: number | undefined;
}

export type ReachEvent =
  | { readonly kind: "reached" }
  | {
    readonly kind: "unreached";
    readonly serverId: string;
    /** How many servers of all services there are. */
    readonly serverCount: number;
  };

/** Servers in a row that are not reached when a VM is cut off. */
const UNREACHED_COUNT = 3;

/** Every server is in reach. */
export const FULL_REACH: ServerReach = {
  unreachedIds: new Set(),
  cutOffSinceMs: undefined,
};

/** Returns the reach after the end of an attempt to connect. */
export function applyReach(
  reach: ServerReach,
  event: ReachEvent,
  nowMs: number,
): ServerReach {
  if (event.kind === "reached") {
    return reach.unreachedIds.size === 0 ? reach : FULL_REACH;
  }
  if (reach.cutOffSinceMs !== undefined) return reach;
  const unreachedIds = new Set([...reach.unreachedIds, event.serverId]);
  const isCutOff = unreachedIds.size >=
    Math.min(UNREACHED_COUNT, event.serverCount);
  return { unreachedIds, cutOffSinceMs: isCutOff ? nowMs : undefined };
}
