/** Decisions: pure functions of state, event, time and random source. */
export * from "./admission.ts";
export * from "./admission_order.ts";
export * from "./breaker.ts";
export * from "./load.ts";
export * from "./retry_budget.ts";
export * from "./route.ts";
export * from "./route_policy.ts";
export * from "./subset.ts";
