/** Clients of the platform: log, VM list, engines, services and ratings. */
export * from "./journal.ts";
