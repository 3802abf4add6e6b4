/**
 * Connections to backend servers. Most requests share kept connections; a fresh
 * one is for requests that must not meet a connection which the network has
 * lost track of. Once a server's connection has gone silent, its other idle
 * ones are given up as well, for they may be lost in the same way.
 */
import { Agent, type Dispatcher, Pool } from "undici";

/** Bounds of the connections. */
export interface ConnectionOptions {
  readonly connectTimeoutMs: number;
  readonly maxConnectionsPerServer: number;
}

/** One request to a server. */
export interface ServerCall extends
  Pick<
    Dispatcher.RequestOptions,
    "path" | "method" | "headers" | "body" | "signal"
  > {
  readonly address: string;
  /** Whether to open a connection of its own. */
  readonly isFresh: boolean;
}

const MAX_POOLS = 1024;

/** Pools of connections by address. */
export class ConnectionPools {
  readonly #options: ConnectionOptions;
  readonly #fresh: Agent;
  readonly #pools = new Map<string, Pool>();

  constructor(options: ConnectionOptions) {
    this.#options = options;
    this.#fresh = new Agent({ ...this.#clientOptions(), pipelining: 0 });
  }

  /** Sends a request; time-outs are the caller's, by its signal. */
  request(
    { address, isFresh, ...request }: ServerCall,
  ): Promise<Dispatcher.ResponseData> {
    const origin = `http://${address}`;
    if (isFresh) return this.#fresh.request({ ...request, origin });
    return this.#poolOf(address).request(request);
  }

  /** Gives up the kept connections of a server; what runs on them ends. */
  retire(address: string): void {
    const pool = this.#pools.get(address);
    if (pool === undefined) return;
    this.#pools.delete(address);
    pool.close().catch(() => {});
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all([
      this.#fresh.destroy(),
      ...pools.map((pool) => pool.destroy()),
    ]);
  }

  #poolOf(address: string): Pool {
    const known = this.#pools.get(address);
    if (known !== undefined) return known;
    const pool = new Pool(`http://${address}`, {
      ...this.#clientOptions(),
      pipelining: 1,
    });
    this.#pools.set(address, pool);
    const oldest = this.#pools.keys().next();
    if (this.#pools.size > MAX_POOLS && oldest.done !== true) {
      this.retire(oldest.value);
    }
    return pool;
  }

  #clientOptions(): Pool.Options {
    return {
      connect: { timeout: this.#options.connectTimeoutMs },
      connections: this.#options.maxConnectionsPerServer,
      headersTimeout: 0,
      bodyTimeout: 0,
    };
  }
}
