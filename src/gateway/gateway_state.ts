/**
 * The state that one VM serves from: the newest manifest and the roster of
 * backend servers. An older manifest or record never replaces a newer one,
 * whichever source it comes from.
 */
import {
  applyRoster,
  EMPTY_ROSTER,
  type Roster,
  type RosterEvent,
  RouteTable,
} from "../decision/mod.ts";
import {
  type Clock,
  type EngineTraits,
  type LogFields,
  type Logger,
  type Manifest,
} from "../model/mod.ts";
import { type BackendFleet } from "./servers/backend_fleet.ts";

/** The manifest and the roster in force on one VM. */
export class GatewayState {
  readonly #fleet: BackendFleet;
  readonly #clock: Clock;
  readonly #logger: Logger;
  #routes: RouteTable | undefined;
  #roster: Roster = EMPTY_ROSTER;
  #hasRoster = false;
  #onManifest: (manifest: Manifest) => void = () => {};

  constructor(options: {
    readonly fleet: BackendFleet;
    readonly clock: Clock;
    readonly logger: Logger;
  }) {
    this.#fleet = options.fleet;
    this.#clock = options.clock;
    this.#logger = options.logger;
  }

  /** Sets the listener that is called after each new manifest. */
  set onManifest(listener: (manifest: Manifest) => void) {
    this.#onManifest = listener;
  }

  /** The routes of the manifest in force; undefined before the first one. */
  get routes(): RouteTable | undefined {
    return this.#routes;
  }

  /** The engine of a service, if the manifest describes one. */
  engineOf(service: string): EngineTraits | undefined {
    const services = this.#routes?.manifest.services ?? [];
    return services.find(({ name }) => name === service)?.engine;
  }

  /** The registered servers. */
  get roster(): Roster {
    return this.#roster;
  }

  /** Whether both manifest and roster have been received. */
  get isComplete(): boolean {
    return this.#routes !== undefined && this.#hasRoster;
  }

  /**
   * Puts a manifest into force unless the current one is as new. The fields of
   * `origin` are logged with it.
   */
  applyManifest(manifest: Manifest, origin: LogFields = {}): void {
    const before = this.#routes?.manifest.version ?? -Infinity;
    if (manifest.version <= before) return;
    this.#routes = new RouteTable(manifest);
    this.#logger.info("manifest in force", {
      version: manifest.version,
      before: Number.isFinite(before) ? before : undefined,
      routes: manifest.routes.length,
      ...origin,
    });
    this.#onManifest(manifest);
  }

  /**
   * Applies records of servers, the store's return or the passing of time. While
   * records are part of a list that is read, an empty roster is not received yet.
   */
  applyRosterEvent(
    event: RosterEvent,
    { isPart = false }: { readonly isPart?: boolean } = {},
  ): void {
    const before = this.#roster;
    this.#roster = applyRoster(before, event, this.#clock());
    const isReceived = !isPart || this.#roster.entries.size > 0;
    if (event.kind === "changed" && isReceived) this.#hasRoster = true;
    if (this.#roster.entries === before.entries) return;
    this.#fleet.update(this.#roster);
    this.#logChanges(before);
  }

  #logChanges(before: Roster): void {
    for (const [id, { server, removeAtMs }] of this.#roster.entries) {
      const previous = before.entries.get(id);
      const isSame = previous?.server.status === server.status &&
        previous.server.processStartedAtMs === server.processStartedAtMs &&
        previous.removeAtMs === removeAtMs;
      if (isSame) continue;
      const { service, version, status, place } = server;
      const isLapsed = removeAtMs !== undefined;
      this.#logger.info("server changed", {
        server: id,
        service,
        version,
        status,
        serverPlace: place,
        isLapsed,
      });
    }
    for (const id of before.entries.keys()) {
      if (this.#roster.entries.has(id)) continue;
      this.#logger.info("server gone", { server: id });
    }
  }
}
