/** In-memory engines for the tests of the controllers. */
import { err, ok, type Result } from "neverthrow";
import { type VersionName, type Vm } from "../model/mod.ts";
import {
  type EngineControl,
  type EngineOrder,
  OrderError,
} from "../client/engine_orders.ts";
import { type ServerReport } from "../client/load_report.ts";

/** An engine that executes orders at once. */
export class FakeEngine {
  readonly loaded: Set<VersionName>;
  readonly orders: EngineOrder[] = [];
  readonly #checksFence: boolean;
  #newestFence = 0;

  constructor(
    versions: readonly VersionName[],
    options: { readonly checksFence: boolean },
  ) {
    this.loaded = new Set(versions);
    this.#checksFence = options.checksFence;
  }

  apply(order: EngineOrder): Result<void, OrderError> {
    if (this.#checksFence && order.fence < this.#newestFence) {
      return err(new OrderError("stale_fence", "an older fencing number"));
    }
    this.#newestFence = Math.max(this.#newestFence, order.fence);
    this.orders.push(order);
    if (order.version === undefined) return ok(undefined);
    if (order.kind === "load") this.loaded.add(order.version);
    if (order.kind === "unload") this.loaded.delete(order.version);
    return ok(undefined);
  }

  report(server: string): ServerReport {
    return {
      server,
      sequence: 1,
      versions: [...this.loaded].map((version) => ({
        version,
        state: "loaded" as const,
        adapters: [],
      })),
      runningCount: 0,
      queuedCount: 0,
      slotCount: 8,
      memoryMb: 10_000,
      usedMemoryMb: this.loaded.size * 1000,
      role: "both",
      isLeaving: false,
    };
  }
}

/** Creates the VM list's rows for engines. */
export function engineRows(names: Iterable<string>): Vm[] {
  return [...names].map((vm) => ({
    vm,
    kind: "engine",
    service: "models",
    place: "khomas-a",
    address: vm,
    peerAddress: "",
    status: "live",
  }));
}

/** One process's access to the engines; can delay orders and reports. */
export class FakeEngineControl implements EngineControl {
  afterReport: () => Promise<void> = () => Promise.resolve();
  beforeOrder: () => Promise<void> = () => Promise.resolve();
  losesReplies = false;
  readonly #engines: ReadonlyMap<string, FakeEngine>;

  constructor(engines: ReadonlyMap<string, FakeEngine>) {
    this.#engines = engines;
  }

  async report(address: string): Promise<ServerReport | undefined> {
    const report = this.#engines.get(address)?.report(address);
    await this.afterReport();
    return report;
  }

  async order(
    address: string,
    order: EngineOrder,
  ): Promise<Result<void, OrderError>> {
    await this.beforeOrder();
    const applied = this.#engines.get(address)?.apply(order);
    if (applied === undefined || this.losesReplies) {
      return err(new OrderError("unknown", "no reply"));
    }
    return applied;
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}
