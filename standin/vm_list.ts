/**
 * Stand-in for the platform's VM list, which is eventually consistent: reads
 * return the list as it was `lagMs` ago.
 */
import { performance } from "node:perf_hooks";
import { type Vm } from "../src/model/mod.ts";
import {
  type Call,
  HttpHost,
  type ListenOptions,
  pause,
  sendError,
  sendJson,
  type Standin,
} from "./http_host.ts";

const MAX_SNAPSHOT_COUNT = 1000;

/** Options of the VM list. */
export interface VmListOptions {
  readonly vms?: readonly Vm[];
}

/** Fault switches of the VM list; they can be changed while it runs. */
export interface VmListSwitches {
  lagMs: number;
  isDown: boolean;
  delayMs: number;
}

interface ListSnapshot {
  readonly fromMs: number;
  readonly vms: readonly Vm[];
}

/** Stand-in for the VM list. */
export class VmListStandin implements Standin {
  readonly switches: VmListSwitches = { lagMs: 0, isDown: false, delayMs: 0 };
  readonly recorded: { readCount: number } = { readCount: 0 };
  readonly #host: HttpHost;
  #snapshots: ListSnapshot[];

  constructor(options: VmListOptions) {
    this.#snapshots = [{ fromMs: -Infinity, vms: options.vms ?? [] }];
    this.#host = new HttpHost((call) => this.#serve(call));
  }

  listen(options?: ListenOptions): Promise<string> {
    return this.#host.listen(options);
  }

  close(): Promise<void> {
    return this.#host.close();
  }

  /** Replaces the list; reads return the new one after the lag. */
  set(vms: readonly Vm[]): void {
    this.#snapshots.push({ fromMs: performance.now(), vms });
    this.#snapshots = this.#snapshots.slice(-MAX_SNAPSHOT_COUNT);
  }

  /** Marks one VM as leaving. */
  markLeaving(name: string): void {
    this.set(
      this.newest().map((vm) =>
        vm.vm === name ? { ...vm, status: "leaving" as const } : vm
      ),
    );
  }

  /** Returns the current list, without the lag. */
  newest(): readonly Vm[] {
    return this.#snapshots.at(-1)?.vms ?? [];
  }

  async #serve(call: Call): Promise<void> {
    await pause(this.switches.delayMs);
    if (this.switches.isDown) return sendError(call.response, 503, "outage");
    if (call.url.pathname !== "/vms") {
      return sendError(call.response, 404, "no such path");
    }
    this.recorded.readCount += 1;
    const asOfMs = performance.now() - this.switches.lagMs;
    const snapshot = this.#snapshots.findLast((one) => one.fromMs <= asOfMs) ??
      this.#snapshots[0];
    sendJson(call.response, 200, { vms: snapshot?.vms ?? [] });
  }
}

export function createVmList(options: VmListOptions = {}): VmListStandin {
  return new VmListStandin(options);
}
