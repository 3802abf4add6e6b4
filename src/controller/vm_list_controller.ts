/** Periodically refreshes this process's copy of the platform's VM list. */
import { type VmListClient } from "../client/vm_list.ts";
import { type Controller } from "./controller_set.ts";

/** Options of the VM list controller. */
export interface VmListControllerOptions {
  readonly vmList: VmListClient;
  readonly periodMs: number;
}

/** Creates the controller; a failed read leaves the last list in use. */
export function createVmListController(
  { vmList, periodMs }: VmListControllerOptions,
): Controller {
  return {
    name: "vm-list",
    periodMs,
    run: async ({ logger }) => {
      const refreshed = await vmList.refresh();
      if (refreshed.isOk()) return;
      logger.warn("VM list not read", { message: refreshed.error.message });
    },
  };
}
