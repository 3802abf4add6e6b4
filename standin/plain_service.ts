/**
 * Stand-in for a backend service that isn't a model, such as a register of
 * submissions. It records every call that took effect, with its idempotency
 * key. A call can be delayed, and can lose its reply after it took effect.
 */
import { performance } from "node:perf_hooks";
import {
  type Call,
  HttpHost,
  type ListenOptions,
  pause,
  sendError,
  sendJson,
  type Standin,
} from "./http_host.ts";

const MAX_RECORDED_COUNT = 200_000;

/** Options of the service. */
export interface PlainServiceOptions {
  readonly server: string;
  readonly slotCount?: number;
  /** Processing time per call. */
  readonly workMs?: number;
}

/** Fault switches of the service; they can be changed while it runs. */
export interface PlainServiceSwitches {
  isDown: boolean;
  isLeaving: boolean;
  delayMs: number;
  /** Number of further calls that take effect and lose their connection. */
  diesAfterEffectCount: number;
  /** Number of further calls that take effect and get no response. */
  silentAfterEffectCount: number;
}

/** A call that took effect. */
export interface RecordedRun {
  readonly server: string;
  readonly requestId: string;
  readonly key: string;
  readonly method: string;
  readonly target: string;
  readonly atMs: number;
}

/** Stand-in for a plain service. */
export class PlainServiceStandin implements Standin {
  readonly switches: PlainServiceSwitches = {
    isDown: false,
    isLeaving: false,
    delayMs: 0,
    diesAfterEffectCount: 0,
    silentAfterEffectCount: 0,
  };
  readonly recorded: RecordedRun[] = [];
  readonly server: string;
  readonly #host: HttpHost;
  readonly #slotCount: number;
  readonly #workMs: number;
  #runningCount = 0;
  #sequence = 0;

  constructor(options: PlainServiceOptions) {
    this.server = options.server;
    this.#slotCount = options.slotCount ?? 16;
    this.#workMs = options.workMs ?? 5;
    this.#host = new HttpHost((call) => this.#serve(call));
  }

  listen(options?: ListenOptions): Promise<string> {
    return this.#host.listen(options);
  }

  close(): Promise<void> {
    return this.#host.close();
  }

  /** Counts the calls with a key that took effect at this server. */
  runCountOf(key: string): number {
    return this.recorded.filter((run) => run.key === key).length;
  }

  async #serve(call: Call): Promise<void> {
    if (this.switches.isDown) {
      call.response.destroy();
      return;
    }
    if (call.url.pathname === "/load") return this.#sendLoad(call);
    if (this.switches.isLeaving) {
      return sendError(call.response, 410, "leaving");
    }
    this.#runningCount += 1;
    try {
      await this.#run(call);
    } finally {
      this.#runningCount -= 1;
    }
  }

  async #run(call: Call): Promise<void> {
    const key = String(call.headers["idempotency-key"] ?? "");
    const requestId = String(call.headers["x-request-id"] ?? "");
    const target = `${call.url.pathname}${call.url.search}`;
    if (this.recorded.length < MAX_RECORDED_COUNT) {
      const atMs = performance.now();
      const { server } = this;
      this.recorded.push({
        server,
        requestId,
        key,
        method: call.method,
        target,
        atMs,
      });
    }
    await pause(this.#workMs + this.switches.delayMs);
    if (this.#consumeFault("diesAfterEffectCount")) {
      call.response.destroy();
      return;
    }
    if (this.#consumeFault("silentAfterEffectCount")) return;
    const { server } = this;
    sendJson(call.response, 200, { server, requestId, key, target });
  }

  #consumeFault(
    name: "diesAfterEffectCount" | "silentAfterEffectCount",
  ): boolean {
    if (this.switches[name] <= 0) return false;
    this.switches[name] -= 1;
    return true;
  }

  #sendLoad(call: Call): void {
    this.#sequence += 1;
    sendJson(call.response, 200, {
      server: this.server,
      sequence: this.#sequence,
      runningCount: this.#runningCount,
      queuedCount: Math.max(0, this.#runningCount - this.#slotCount),
      slotCount: this.#slotCount,
      isLeaving: this.switches.isLeaving,
    });
  }
}

export function createPlainService(
  options: PlainServiceOptions,
): PlainServiceStandin {
  return new PlainServiceStandin(options);
}
