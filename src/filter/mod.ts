/** The filter chain of requests and the callers' interface. */
export * from "./answer_sink.ts";
export * from "./bill.ts";
export * from "./budget_table.ts";
export * from "./cascade.ts";
export * from "./chain.ts";
export * from "./context.ts";
export * from "./http_app.ts";
export * from "./identify.ts";
export * from "./kept_answers.ts";
export * from "./limits.ts";
export * from "./pin.ts";
export * from "./problem.ts";
export * from "./request_handler.ts";
export * from "./request_life.ts";
export * from "./router.ts";
export * from "./session_token.ts";
export * from "./version_selector.ts";
