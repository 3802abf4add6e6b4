/** Periodic controllers: roll-outs, engine orders, spending and the VM list. */
export * from "./controller_set.ts";
export * from "./fleet_controller.ts";
export * from "./lease_keeper.ts";
export * from "./rollout_controller.ts";
export * from "./spend_controller.ts";
export * from "./vm_list_controller.ts";
