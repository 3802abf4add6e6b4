/** Stand-ins for the platform and for backend servers, for tests and demo. */
export * from "./answer_text.ts";
export * from "./engine.ts";
export { prefixHashOf } from "./engine_cache.ts";
export * from "./engine_options.ts";
export { type ListenOptions, type Standin } from "./http_host.ts";
export * from "./log.ts";
export * from "./plain_service.ts";
export * from "./random.ts";
export * from "./rating.ts";
export * from "./vm_list.ts";
export * from "./weight_store.ts";
