/**
 * The backend servers that are registered. An entry that vanishes is gone at
 * once, unless the store has just come back from an outage: entries that
 * lapsed meanwhile return within a short while, so until then their servers
 * stay in use.
 */
import { type BackendServer } from "../model/mod.ts";

/** Time after the store's return in which lapsed entries come back. */
export const EXPIRY_GRACE_MS = 2000;

/** One registered server. */
export interface RosterEntry {
  readonly server: BackendServer;
  /** The offset of its newest record. */
  readonly offset: number;
  /** When it goes unless it registers again; only after an outage. */
  readonly removeAtMs: number | undefined;
}

/** A record of the store: a server, or that an id is no longer registered. */
export interface RosterRecord {
  readonly id: string;
  readonly server: BackendServer | undefined;
  readonly offset: number;
}

/** All registered servers; immutable. */
export interface Roster {
  readonly entries: ReadonlyMap<string, RosterEntry>;
  /** Until when vanished entries may only have lapsed. */
  readonly graceUntilMs: number;
}

/** What changes a roster. */
export type RosterEvent =
  /** Records that follow on those known. */
  | { readonly kind: "changed"; readonly records: readonly RosterRecord[] }
  /** The store answers again after an outage. */
  | { readonly kind: "store_returned" }
  | { readonly kind: "tick" };

/** A roster of no servers. */
export const EMPTY_ROSTER: Roster = { entries: new Map(), graceUntilMs: 0 };

/** The roster after an event. */
export function applyRoster(
  roster: Roster,
  event: RosterEvent,
  nowMs: number,
): Roster {
  switch (event.kind) {
    case "store_returned":
      return { ...roster, graceUntilMs: nowMs + EXPIRY_GRACE_MS };
    case "changed":
      return afterRecords(roster, event.records, nowMs);
    case "tick":
      return afterTick(roster, nowMs);
  }
}

function afterRecords(
  roster: Roster,
  records: readonly RosterRecord[],
  nowMs: number,
): Roster {
  if (records.length === 0) return roster;
  const entries = new Map(roster.entries);
  for (const { id, server, offset } of records) {
    const known = entries.get(id);
    if (known !== undefined && known.offset > offset) continue;
    if (server !== undefined) {
      entries.set(id, { server, offset, removeAtMs: undefined });
    } else if (known === undefined || nowMs >= roster.graceUntilMs) {
      entries.delete(id);
    } else {
      const goneAtMs = known.removeAtMs ?? roster.graceUntilMs;
      entries.set(id, { ...known, offset, removeAtMs: goneAtMs });
    }
  }
  return { ...roster, entries };
}

function afterTick(roster: Roster, nowMs: number): Roster {
  const gone: string[] = [];
  for (const [id, { removeAtMs: goneAtMs }] of roster.entries) {
    if (goneAtMs !== undefined && goneAtMs <= nowMs) gone.push(id);
  }
  if (gone.length === 0) return roster;
  const entries = new Map(roster.entries);
  for (const id of gone) entries.delete(id);
  return { ...roster, entries };
}
