/** Runs the controllers of one VM. Every VM runs the same set. */
import { randomUUID } from "node:crypto";
import {
  type Controller,
  createControllerSet,
  createFleetController,
  createRolloutController,
  createSpendController,
  createVmListController,
  LeaseKeeper,
} from "../controller/mod.ts";
import {
  createEngineControl,
  createWeightStoreClient,
  type EngineControl,
  type LogJournal,
  type VmListClient,
  type WeightStoreClient,
} from "../client/mod.ts";
import { processEffects } from "../client/effects.ts";
import { type ProgramContext, type RunningProgram } from "./program.ts";
import { openJournal } from "./journal_setup.ts";
import { openVmList } from "./client_setup.ts";
import { type ProcessSettings } from "./process_settings.ts";

const FLEET_LEASE_TTL_MS = 15_000;
const ORDER_TIMEOUT_MS = 2000;
const WEIGHT_STORE_TIMEOUT_MS = 2000;
const MAX_CONCURRENT_LOADS = 2;

/** Starts the controllers of one VM. */
export function startController(
  context: ProgramContext,
): Promise<RunningProgram> {
  const journal = openJournal(context, {
    readsBills: true,
    writerCount: () => 1,
  });
  journal.start();
  const parts: ControllerParts = {
    journal,
    vmList: openVmList(context.settings),
    engines: createEngineControl({ timeoutMs: ORDER_TIMEOUT_MS }),
    store: createWeightStoreClient({
      origin: context.settings.platform.weightStoreUrl,
      timeoutMs: WEIGHT_STORE_TIMEOUT_MS,
    }),
  };
  const controllers = createControllerSet(
    controllersOf(parts, context.settings),
    {
      ...context,
      ...processEffects,
    },
  );
  controllers.start();
  context.logger.info("running");
  const stop = async (): Promise<void> => {
    await controllers.stop();
    await parts.engines.close();
    await parts.store.close();
    await journal.close();
  };
  return Promise.resolve({ stop });
}

interface ControllerParts {
  readonly journal: LogJournal;
  readonly vmList: VmListClient;
  readonly engines: EngineControl;
  readonly store: WeightStoreClient;
}

function controllersOf(
  parts: ControllerParts,
  settings: ProcessSettings,
): Controller[] {
  const { journal, vmList, engines, store } = parts;
  const { clock } = processEffects;
  const { controllerPeriodMs: periodMs, vmListPeriodMs } = settings.timing;
  const { appendTimeoutMs } = settings.log;
  const lease = new LeaseKeeper({
    name: "fleet",
    holder: `${settings.vm}:${randomUUID()}`,
    ttlMs: FLEET_LEASE_TTL_MS,
    journal,
    clock,
    appendTimeoutMs,
  });
  return [
    createVmListController({ vmList, periodMs: vmListPeriodMs }),
    createRolloutController({ journal, periodMs, appendTimeoutMs }),
    createSpendController({
      ...processEffects,
      journal,
      periodMs,
      appendTimeoutMs,
    }),
    createFleetController({
      journal,
      clock,
      lease,
      engines,
      vms: () => vmList.last()?.vms ?? [],
      sizeMbOf: async (version) =>
        (await store.lookup(version)).map((info) => info.sizeMb)
          .unwrapOr(undefined),
      periodMs,
      orderTimeoutMs: ORDER_TIMEOUT_MS,
      maxLoading: MAX_CONCURRENT_LOADS,
    }),
  ];
}
