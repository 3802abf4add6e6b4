/** Which servers have left the roster, and when. */
import { type Roster } from "../../decision/mod.ts";
import { type BackendServer, type Clock } from "../../model/mod.ts";

/**
 * How long a server counts as one that has just left: longer than a session
 * pauses after the last answer of a server that goes on for a while.
 */
const RECENT_MS = 10_000;
/** Departures that are kept, the newest ones. */
const MAX_DEPARTURES = 256;

interface Departure {
  readonly server: BackendServer;
  readonly atMs: number;
}

export class ServerDepartures {
  readonly #clock: Clock;
  #departures: readonly Departure[] = [];

  constructor({ clock }: { readonly clock: Clock }) {
    this.#clock = clock;
  }

  /** Records which servers a new roster lacks, or has in another version. */
  record(before: readonly BackendServer[], { entries }: Roster): void {
    const departures: Departure[] = [];
    for (const server of before) {
      const next = entries.get(server.id)?.server;
      const isPresent = next?.service === server.service &&
        next.version === server.version;
      if (!isPresent) departures.push({ server, atMs: this.#clock() });
    }
    if (departures.length === 0) return;
    this.#departures = [...this.#departures, ...departures]
      .slice(-MAX_DEPARTURES);
  }

  /** The servers of a service that have left a moment ago. */
  recentOf(service: string): BackendServer[] {
    const sinceMs = this.#clock() - RECENT_MS;
    return this.#departures
      .filter(({ server, atMs }) =>
        server.service === service && atMs >= sinceMs
      )
      .map(({ server }) => server);
  }
}
