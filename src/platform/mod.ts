/** Clients of the platform: log, VM list, engines, services and ratings. */
export * from "./engine.ts";
export * from "./journal.ts";
export * from "./log_client.ts";
export * from "./log_journal.ts";
export * from "./rating.ts";
export * from "./shard.ts";
export * from "./stream_journal.ts";
export * from "./telemetry.ts";
export * from "./weight_store.ts";
export * from "./load_poller.ts";
export * from "./load_report.ts";
export * from "./memory_journal.ts";
export * from "./plain_service.ts";
export * from "./server_directory.ts";
export * from "./server_record.ts";
export * from "./vm_list.ts";
export * from "./peer_records.ts";
