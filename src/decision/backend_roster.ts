/**
 * The registered backend servers. A server whose registration disappears is
 * removed at once, except shortly after an outage of the store: registrations
 * that expired during the outage are renewed soon after it, so their servers
 * stay in use for a grace period.
 */
import { type BackendServer } from "../model/mod.ts";

/** Grace period after an outage for servers to renew expired entries. */
export const EXPIRY_GRACE_MS = 2000;

export interface RosterEntry {
  readonly server: BackendServer;
  /** Offset of the newest record of this server. */
  readonly offset: number;
  /** Time of removal unless the entry is renewed; set only after an outage. */
  readonly removeAtMs: number | undefined;
}

/** A record of the store; without `server` the id is no longer registered. */
export interface RosterRecord {
  readonly id: string;
  readonly server: BackendServer | undefined;
  readonly offset: number;
}

/** All registered servers; immutable. */
export interface Roster {
  readonly entries: ReadonlyMap<string, RosterEntry>;
  /** End of the grace period; 0 before the first outage. */
  readonly graceUntilMs: number;
}

/** Events that change a roster. */
export type RosterEvent =
  /** Records read since the last event; outdated ones are ignored. */
  | { readonly kind: "changed"; readonly records: readonly RosterRecord[] }
  /** The store is reachable again after an outage. */
  | { readonly kind: "store_returned" }
  | { readonly kind: "tick" };

export const EMPTY_ROSTER: Roster = { entries: new Map(), graceUntilMs: 0 };

/** Returns the roster after an event. */
export function applyRoster(
  roster: Roster,
  event: RosterEvent,
  nowMs: number,
): Roster {
  switch (event.kind) {
    case "store_returned":
      return { ...roster, graceUntilMs: nowMs + EXPIRY_GRACE_MS };
    case "changed":
      return applyRecords(roster, event.records, nowMs);
    case "tick":
      return removeExpired(roster, nowMs);
  }
}

function applyRecords(
  roster: Roster,
  records: readonly RosterRecord[],
  nowMs: number,
): Roster {
  if (records.length === 0) return roster;
  const entries = new Map(roster.entries);
  for (const { id, server, offset } of records) {
    const current = entries.get(id);
    if (current !== undefined && current.offset > offset) continue;
    if (server !== undefined) {
      entries.set(id, { server, offset, removeAtMs: undefined });
    } else if (current === undefined || nowMs >= roster.graceUntilMs) {
      entries.delete(id);
    } else {
      const removeAtMs = current.removeAtMs ?? roster.graceUntilMs;
      entries.set(id, { ...current, offset, removeAtMs });
    }
  }
  return { ...roster, entries };
}

function removeExpired(roster: Roster, nowMs: number): Roster {
  const expiredIds: string[] = [];
  for (const [id, { removeAtMs }] of roster.entries) {
    if (removeAtMs !== undefined && removeAtMs <= nowMs) expiredIds.push(id);
  }
  if (expiredIds.length === 0) return roster;
  const entries = new Map(roster.entries);
  for (const id of expiredIds) entries.delete(id);
  return { ...roster, entries };
}
