/**
 * The versions that an engine holds and the orders that change them. An engine
 * either refuses orders with an old fencing number or ignores the number.
 */
import { z } from "zod";
import { MAX_RECORDED_COUNT, type RecordedOrder } from "./engine_options.ts";

/** Codec of an order's body. */
export const orderSchema = z.object({
  orderId: z.string(),
  fence: z.number(),
  kind: z.enum(["load", "unload", "role", "adapter"]),
  version: z.string().optional(),
  role: z.enum(["both", "prefill", "decode"]).optional(),
  adapter: z.string().optional(),
});

/** An order's body. */
export type Order = z.infer<typeof orderSchema>;

/** What became of an order. */
export type OrderResult =
  | { readonly state: "accepted" | "done" }
  | { readonly state: "stale"; readonly fence: number }
  | { readonly state: "no_memory" };

/** One version as the load report shows it. */
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

/** The versions of one engine. */
export class EngineVersions {
  readonly recordedOrders: RecordedOrder[] = [];
  readonly #options: EngineVersionsOptions;
  readonly #held = new Map<string, ReportedVersion>();
  readonly #timers = new Set<NodeJS.Timeout>();
  #newestFence = 0;
  #role: "both" | "prefill" | "decode" = "both";

  constructor(options: EngineVersionsOptions) {
    this.#options = options;
    for (const version of options.versions) this.#hold(version, "loaded");
  }

  get role(): "both" | "prefill" | "decode" {
    return this.#role;
  }

  get usedMemoryMb(): number {
    return this.#held.size * this.#options.versionMemoryMb;
  }

  /** The versions held, loaded or loading. */
  list(): ReportedVersion[] {
    return [...this.#held.values()];
  }

  isLoaded(version: string): boolean {
    return this.#held.get(version)?.state === "loaded";
  }

  /** Carries out an order, or refuses it. */
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
    return this.#carryOut(order);
  }

  /** Ends the timers of versions that still load. */
  close(): void {
    for (const timer of this.#timers) clearTimeout(timer);
  }

  #carryOut(order: Order): OrderResult {
    const version = order.version ?? "";
    switch (order.kind) {
      case "load":
        return this.#load(version);
      case "unload":
        this.#held.delete(version);
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
    const held = this.#held.get(version);
    if (held !== undefined) {
      return { state: held.state === "loaded" ? "done" : "accepted" };
    }
    const neededMb = this.usedMemoryMb + this.#options.versionMemoryMb;
    if (neededMb > this.#options.memoryMb) return { state: "no_memory" };
    this.#hold(version, "loading");
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      if (this.#held.has(version)) this.#hold(version, "loaded");
    }, this.#options.loadMs);
    this.#timers.add(timer);
    return { state: "accepted" };
  }

  #addAdapter(version: string, adapter: string): void {
    const held = this.#held.get(version);
    if (held === undefined || held.adapters.includes(adapter)) return;
    this.#held.set(version, {
      ...held,
      adapters: [...held.adapters, adapter],
    });
  }

  #hold(version: string, state: ReportedVersion["state"]): void {
    this.#held.set(version, { version, state, adapters: [] });
  }
}
