/** Keeps this process's copy of the platform's VM list fresh. */
import { type VmListClient } from "../client/vm_list.ts";
import { type Controller } from "./controller_set.ts";

/** What the controller works with. */
export interface VmListControllerOptions {
  readonly vmList: VmListClient;
  readonly periodMs: number;
}

/** Creates the controller; an outage leaves the last list in place. */
export function createVmListController(
  { vmList, periodMs }: VmListControllerOptions,
): Controller {
  return {
    name: "vm-list",
    periodMs,
    run: async ({ logger }) => {
      const read = await vmList.refresh();
      if (read.isOk()) return;
      logger.warn("VM list not read", { message: read.error.message });
    },
  };
}
