/** Processor time, memory and control bytes of the VMs of a cluster. */
import { type RunSummary } from "../src/report/run_summary.ts";
import { type Cluster } from "../test/cluster.ts";
import { type ProgramUsage } from "../test/program.ts";

/** Processor time, memory and control bytes of one VM since its start. */
export interface VmUsage {
  readonly vm: string;
  readonly entry: ProgramUsage;
  readonly controller: ProgramUsage;
  readonly controlBytes: number;
}

/** Returns the usage of all VMs whose entry process runs. */
export function usageOf(cluster: Cluster): VmUsage[] {
  return cluster.live().map((vm) => ({
    vm: vm.name,
    entry: vm.entry.usage(),
    controller: vm.controller?.usage() ?? { cpuMs: 0, memoryMb: 0 },
    controlBytes: vm.logLink.carriedBytes + cluster.peerBytesOf(vm.name),
  }));
}

/** Returns the mean usage of each VM between two samples. */
export function usageBetween(
  before: readonly VmUsage[],
  after: readonly VmUsage[],
  elapsedMs: number,
): RunSummary["vms"] {
  return after.map((end) => {
    const start = before.find((sample) => sample.vm === end.vm);
    const controlBytes = end.controlBytes - (start?.controlBytes ?? 0);
    const entryCpuMs = end.entry.cpuMs - (start?.entry.cpuMs ?? 0);
    const controlCpuMs = end.controller.cpuMs -
      (start?.controller.cpuMs ?? 0);
    return {
      vm: end.vm,
      entryCpuShare: round(entryCpuMs / elapsedMs),
      controlCpuShare: round(controlCpuMs / elapsedMs),
      controlBytesPerSecond: Math.round(controlBytes * 1000 / elapsedMs),
      entryMemoryMb: Math.round(end.entry.memoryMb),
      controllerMemoryMb: Math.round(end.controller.memoryMb),
    };
  });
}

function round(share: number): number {
  return Math.round(share * 10_000) / 10_000;
}
