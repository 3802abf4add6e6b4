/**
 * The request limits that backend servers name in their answers. A limit holds
 * from the first answer with it until one without it, for one start of the
 * server's process.
 */
import { type BackendServer, type Logger } from "../model/mod.ts";

interface NamedLimit {
  readonly limitPerSecond: number | undefined;
  readonly processStartedAtMs: number;
}

/** The limits that this VM knows. */
export class ServerLimits {
  readonly #logger: Logger;
  readonly #limits = new Map<string, NamedLimit>();
  readonly #malformedIds = new Set<string>();

  constructor(options: { readonly logger: Logger }) {
    this.#logger = options.logger;
  }

  /** The limit in force at a server; `undefined` without one. */
  limitOf(server: BackendServer): number | undefined {
    const limit = this.#limits.get(server.id);
    return limit?.processStartedAtMs === server.processStartedAtMs
      ? limit.limitPerSecond
      : undefined;
  }

  /** Records an answer's limit; NaN, a malformed one, changes nothing. */
  record(server: BackendServer, limitPerSecond: number | undefined): void {
    if (Number.isNaN(limitPerSecond)) return this.#logMalformed(server.id);
    const before = this.limitOf(server);
    if (before === limitPerSecond) return;
    const { id, processStartedAtMs } = server;
    this.#limits.set(id, { limitPerSecond, processStartedAtMs });
    this.#logger.info("server limit changed", {
      server: id,
      limitPerSecond,
      before,
    });
  }

  /** Discards what is known of servers that are no longer registered. */
  retain(isRegistered: (id: string) => boolean): void {
    for (const id of this.#limits.keys()) {
      if (!isRegistered(id)) this.#limits.delete(id);
    }
    for (const id of this.#malformedIds) {
      if (!isRegistered(id)) this.#malformedIds.delete(id);
    }
  }

  #logMalformed(id: string): void {
    if (this.#malformedIds.has(id)) return;
    this.#malformedIds.add(id);
    this.#logger.warn("malformed server limit", { server: id });
  }
}
