/** Clients of the platform: log, VM list, engines, services and ratings. */
export * from "./effects.ts";
export * from "./journal.ts";
export * from "./log_client.ts";
export * from "./log_journal.ts";
export * from "./rating.ts";
export * from "./shard.ts";
export * from "./telemetry.ts";
export * from "./weight_store.ts";
