/** The gateway: requests forwarded byte for byte under a service manifest. */
export * from "./backend_exchange.ts";
export * from "./backend_fleet.ts";
export * from "./caller_exchange.ts";
export * from "./caller_server.ts";
export * from "./event_splitter.ts";
export * from "./forward_context.ts";
export * from "./forwarding.ts";
export * from "./gateway.ts";
export * from "./gateway_metrics.ts";
export * from "./gateway_options.ts";
export * from "./gateway_settings.ts";
export * from "./gateway_state.ts";
export * from "./json_logger.ts";
export * from "./log_sink.ts";
export * from "./protocol.ts";
export * from "./retry_budget.ts";
export * from "./store_record.ts";
