/**
 * Connections to backend servers. Most requests use pooled keep-alive
 * connections. A request that must not hit a silently dropped connection gets a
 * new one. After a timeout on one of a server's connections its whole pool is
 * closed, since the idle connections may have been dropped as well.
 */
import { Agent, type Dispatcher, Pool } from "undici";

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
  /** Whether to open a new connection instead of a pooled one. */
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

  /** Sends a request; timeouts are up to the caller's signal. */
  request(
    { address, isFresh, ...request }: ServerCall,
  ): Promise<Dispatcher.ResponseData> {
    const origin = `http://${address}`;
    if (isFresh) return this.#fresh.request({ ...request, origin });
    return this.#poolOf(address).request(request);
  }

  /** Closes a server's pool; requests in flight on it complete. */
  retire(address: string): void {
    const pool = this.#pools.get(address);
    if (pool === undefined) return;
    this.#pools.delete(address);
    pool.close().catch(() => {});
  }

  /** Closes all connections immediately; requests in flight fail. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all([
      this.#fresh.destroy(),
      ...pools.map((pool) => pool.destroy()),
    ]);
  }

  #poolOf(address: string): Pool {
    const existing = this.#pools.get(address);
    if (existing !== undefined) return existing;
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
