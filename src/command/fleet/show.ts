/** `goldcrestpost fleet show` shows the engines and the lease holder. */
import { ROOT_PATH, type Settings, type Vm } from "../../model/mod.ts";
import {
  createEngineControl,
  type ServerReport,
  VmListClient,
} from "../../client/mod.ts";
import { processEffects } from "../../client/effects.ts";
import { operatorFlags, SettingsCommand } from "../base.ts";
import { faultOf } from "../exit_status.ts";

const MS_PER_S = 1000;
const REPORT_TIMEOUT_MS = 2000;
const REPORT_BATCH_SIZE = 16;

/** Status of one engine, as printed. */
export interface EngineStatus {
  readonly server: string;
  readonly place: string;
  readonly status: "serving" | "drained" | "leaving" | "no report";
  readonly versions: readonly string[];
  readonly loadShare: number;
  readonly usedMemoryMb: number;
  readonly memoryMb: number;
}

/** Shows the engines. */
export class FleetShowCommand extends SettingsCommand {
  static override readonly summary: string =
    "Show the engines, their loaded versions, and the controller in charge";

  static override readonly flags = { ...operatorFlags };

  /** Prints the lease and the engines as JSON. */
  async run(): Promise<void> {
    const { flags } = await this.parse(FleetShowCommand);
    await this.withSession(flags, async ({ operator, session }) => {
      if (operator.vmListUrl === undefined) {
        return this.fail(faultOf("faultySettings", "vmListUrl is not set"));
      }
      const list = await new VmListClient({
        baseUrl: operator.vmListUrl,
        clock: processEffects.clock,
        timeoutMs: flags.timeout * MS_PER_S,
      }).refresh();
      if (list.isErr()) {
        return this.fail(faultOf("unavailable", list.error.message));
      }
      const lease = session.control.leases.get("fleet");
      const root = session.control.tree.resolve(ROOT_PATH).values;
      const engines = await readStatuses(list.value.vms, root);
      this.printJson({
        holder: lease?.isReleased === false ? lease.holder : null,
        fence: lease?.fence ?? null,
        engines,
      });
    });
  }
}

async function readStatuses(
  vms: readonly Vm[],
  root: Settings,
): Promise<EngineStatus[]> {
  const engines = vms.filter((vm) => vm.kind === "engine");
  const control = createEngineControl({ timeoutMs: REPORT_TIMEOUT_MS });
  const statuses: EngineStatus[] = [];
  for (let start = 0; start < engines.length; start += REPORT_BATCH_SIZE) {
    const batch = engines.slice(start, start + REPORT_BATCH_SIZE);
    const reports = await Promise.all(
      batch.map((vm) => control.report(vm.address)),
    );
    for (const [index, vm] of batch.entries()) {
      statuses.push(engineStatus(vm, { report: reports[index], root }));
    }
  }
  await control.close();
  return statuses;
}

function engineStatus(
  vm: Vm,
  options: {
    readonly report: ServerReport | undefined;
    readonly root: Settings;
  },
): EngineStatus {
  const { report } = options;
  const workCount = (report?.runningCount ?? 0) + (report?.queuedCount ?? 0);
  return {
    server: vm.vm,
    place: vm.place,
    status: serviceStatus(vm, options),
    versions: (report?.versions ?? []).map(({ version, state }) =>
      state === "loaded" ? version : `${version} (${state})`
    ),
    loadShare: workCount / Math.max(1, report?.slotCount ?? 1),
    usedMemoryMb: report?.usedMemoryMb ?? 0,
    memoryMb: report?.memoryMb ?? 0,
  };
}

function serviceStatus(
  vm: Vm,
  options: {
    readonly report: ServerReport | undefined;
    readonly root: Settings;
  },
): EngineStatus["status"] {
  const { report, root } = options;
  if (report === undefined) return "no report";
  if (vm.status === "leaving" || report.isLeaving) return "leaving";
  const isDrained = root.drainedServers.includes(vm.vm) ||
    root.drainedPlaces.includes(vm.place);
  return isDrained ? "drained" : "serving";
}
