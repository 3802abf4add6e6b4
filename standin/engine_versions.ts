/**
 * The versions loaded on an engine and the orders that change them. Depending
 * on its options, an engine refuses orders with an outdated fencing number or
 * executes them all the same.
 */
import { z } from "zod";
import { MAX_RECORDED_COUNT, type RecordedOrder } from "./engine_options.ts";

/** Schema of an order's body. */
export const orderSchema = z.object({
  orderId: z.string(),
  fence: z.number(),
  kind: z.enum(["load", "unload", "role", "adapter"]),
  version: z.string().optional(),
  role: z.enum(["both", "prefill", "decode"]).optional(),
  adapter: z.string().optional(),
});

export type Order = z.infer<typeof orderSchema>;

export type OrderResult =
  | { readonly state: "accepted" | "done" }
  | { readonly state: "stale"; readonly fence: number }
  | { readonly state: "no_memory" };

/** The entry of a version in the load report. */
export interface ReportedVersion {
  readonly version: string;
  readonly state: "loaded" | "loading";
  readonly adapters: readonly string[];
}

interface EngineVersionsOptions {
  readonly server: string;
  readonly versions: readonly string[];
  readonly memoryMb: number;
  readonly versionMemoryMb: number;
  readonly loadMs: number;
  readonly checksFence: boolean;
}

/** The versions of one engine, its role, and the orders it received. */
export class EngineVersions {
  readonly recordedOrders: RecordedOrder[] = [];
  readonly #options: EngineVersionsOptions;
  readonly #versions = new Map<string, ReportedVersion>();
  readonly #timers = new Set<NodeJS.Timeout>();
  #newestFence = 0;
  #role: "both" | "prefill" | "decode" = "both";

  constructor(options: EngineVersionsOptions) {
    this.#options = options;
    for (const version of options.versions) this.#setVersion(version, "loaded");
  }

  get role(): "both" | "prefill" | "decode" {
    return this.#role;
  }

  get usedMemoryMb(): number {
    return this.#versions.size * this.#options.versionMemoryMb;
  }

  /** Returns the versions that are loaded or loading. */
  list(): ReportedVersion[] {
    return [...this.#versions.values()];
  }

  isLoaded(version: string): boolean {
    return this.#versions.get(version)?.state === "loaded";
  }

  /** Records and executes an order, or refuses it. */
  execute(order: Order): OrderResult {
    const isStale = order.fence < this.#newestFence;
    this.#newestFence = Math.max(this.#newestFence, order.fence);
    if (this.recordedOrders.length < MAX_RECORDED_COUNT) {
      this.recordedOrders.push({
        server: this.#options.server,
        orderId: order.orderId,
        fence: order.fence,
        kind: order.kind,
        version: order.version ?? "",
        isStale,
      });
    }
    if (isStale && this.#options.checksFence) {
      return { state: "stale", fence: this.#newestFence };
    }
    return this.#apply(order);
  }

  /** Cancels pending loads. */
  close(): void {
    for (const timer of this.#timers) clearTimeout(timer);
  }

  #apply(order: Order): OrderResult {
    const version = order.version ?? "";
    switch (order.kind) {
      case "load":
        return this.#load(version);
      case "unload":
        this.#versions.delete(version);
        return { state: "done" };
      case "role":
        this.#role = order.role ?? this.#role;
        return { state: "done" };
      case "adapter":
        this.#addAdapter(version, order.adapter ?? "");
        return { state: "done" };
    }
  }

  #load(version: string): OrderResult {
    const current = this.#versions.get(version);
    if (current !== undefined) {
      return { state: current.state === "loaded" ? "done" : "accepted" };
    }
    const neededMb = this.usedMemoryMb + this.#options.versionMemoryMb;
    if (neededMb > this.#options.memoryMb) return { state: "no_memory" };
    this.#setVersion(version, "loading");
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      if (this.#versions.has(version)) this.#setVersion(version, "loaded");
    }, this.#options.loadMs);
    this.#timers.add(timer);
    return { state: "accepted" };
  }

  #addAdapter(version: string, adapter: string): void {
    const current = this.#versions.get(version);
    if (current === undefined || current.adapters.includes(adapter)) return;
    this.#versions.set(version, {
      ...current,
      adapters: [...current.adapters, adapter],
    });
  }

  #setVersion(version: string, state: ReportedVersion["state"]): void {
    this.#versions.set(version, { version, state, adapters: [] });
  }
}
