/** The domain model: immutable values and pure functions, without I/O. */
export * from "./address.ts";
export * from "./allowance.ts";
export * from "./byte_collector.ts";
export * from "./effects.ts";
export * from "./error.ts";
export * from "./hash.ts";
export * from "./manifest.ts";
export * from "./path.ts";
export * from "./refusal.ts";
export * from "./request.ts";
export * from "./schema_issue.ts";
export * from "./server.ts";
export * from "./settings.ts";
export * from "./tree.ts";
export * from "./version.ts";
