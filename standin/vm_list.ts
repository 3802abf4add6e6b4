/**
 * The platform's lagging list of VMs: a change shows after `lagMs`, as if the
 * list were a copy made some time ago.
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

/** How the list is set up. */
export interface VmListOptions {
  readonly vms?: readonly Vm[];
}

/** Faults of the list, changed at any time. */
export interface VmListSwitches {
  lagMs: number;
  isDown: boolean;
  delayMs: number;
}

interface ListSnapshot {
  readonly fromMs: number;
  readonly vms: readonly Vm[];
}

/** The VM list's stand-in. */
export class VmListStandin implements Standin {
  readonly switches: VmListSwitches = { lagMs: 0, isDown: false, delayMs: 0 };
  readonly recorded: { readCount: number } = { readCount: 0 };
  readonly #host: HttpHost;
  #versions: ListSnapshot[];

  constructor(options: VmListOptions) {
    this.#versions = [{ fromMs: -Infinity, vms: options.vms ?? [] }];
    this.#host = new HttpHost((call) => this.#serve(call));
  }

  listen(options?: ListenOptions): Promise<string> {
    return this.#host.listen(options);
  }

  close(): Promise<void> {
    return this.#host.close();
  }

  /** Replaces the list; readers see it after the lag. */
  set(vms: readonly Vm[]): void {
    this.#versions.push({ fromMs: performance.now(), vms });
    this.#versions = this.#versions.slice(-MAX_SNAPSHOT_COUNT);
  }

  /** Marks one VM as leaving. */
  markLeaving(name: string): void {
    this.set(
      this.newest().map((vm) =>
        vm.vm === name ? { ...vm, status: "leaving" as const } : vm
      ),
    );
  }

  /** The list without its lag. */
  newest(): readonly Vm[] {
    return this.#versions.at(-1)?.vms ?? [];
  }

  async #serve(call: Call): Promise<void> {
    await pause(this.switches.delayMs);
    if (this.switches.isDown) return sendError(call.response, 503, "outage");
    if (call.url.pathname !== "/vms") {
      return sendError(call.response, 404, "no such path");
    }
    this.recorded.readCount += 1;
    const shownMs = performance.now() - this.switches.lagMs;
    const shown = this.#versions.findLast((one) => one.fromMs <= shownMs) ??
      this.#versions[0];
    sendJson(call.response, 200, { vms: shown?.vms ?? [] });
  }
}

/** Creates a VM list. */
export function createVmList(options: VmListOptions = {}): VmListStandin {
  return new VmListStandin(options);
}
