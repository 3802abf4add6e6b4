/** State that every VM derives from the log by replay, without I/O. */
export * from "./bounded_map.ts";
export * from "./checkpoint.ts";
export * from "./checkpoint_schedule.ts";
export * from "./control.ts";
export * from "./edit_history.ts";
export * from "./expired_keys.ts";
export * from "./ledger.ts";
export * from "./position.ts";
export * from "./record.ts";
export * from "./requests.ts";
export * from "./state_codec.ts";
