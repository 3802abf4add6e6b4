/** Decisions: pure functions of state, event, time and random source. */
export * from "./admission.ts";
export * from "./admission_order.ts";
export * from "./admission_returns.ts";
export * from "./allowed_regions.ts";
export * from "./answer_end.ts";
export * from "./backend_choice.ts";
export * from "./backend_health.ts";
export * from "./backend_roster.ts";
export * from "./breaker.ts";
export * from "./brittle_server.ts";
export * from "./budget.ts";
export * from "./cascade.ts";
export * from "./change_watch.ts";
export * from "./cold_server.ts";
export * from "./divided_lease.ts";
export * from "./divided_limit.ts";
export * from "./server_limit.ts";
export * from "./server_estimate.ts";
export * from "./server_reach.ts";
export * from "./server_status.ts";
export * from "./crash_evidence.ts";
export * from "./entry_addresses.ts";
export * from "./escalation_pressure.ts";
export * from "./evacuation.ts";
export * from "./evidence.ts";
export * from "./exposure.ts";
export * from "./fleet_admission.ts";
export * from "./fleet_admission_order.ts";
export * from "./fleet_admission_state.ts";
export * from "./lease.ts";
export * from "./limited_vms.ts";
export * from "./load.ts";
export * from "./load_trial.ts";
export * from "./local_stops.ts";
export * from "./member.ts";
export * from "./log_sums.ts";
export * from "./membership.ts";
export { aliveCheck } from "./membership_evidence.ts";
export * from "./model_escalation.ts";
export * from "./version_candidate.ts";
export * from "./ordered_rollout.ts";
export * from "./placement.ts";
export * from "./prompt_home.ts";
export * from "./quality.ts";
export * from "./rating_sum.ts";
export * from "./store_reader.ts";
export * from "./retry_window.ts";
export * from "./retry_budget.ts";
export * from "./rollout.ts";
export * from "./route.ts";
export * from "./route_policy.ts";
export * from "./route_table.ts";
export * from "./selection.ts";
export * from "./shared_load.ts";
export * from "./shared_observation.ts";
export * from "./shutdown.ts";
export * from "./silence.ts";
export * from "./slow_start.ts";
export * from "./slowness.ts";
export * from "./subset.ts";
export { type GroupedTimeCounts, MAX_TIME_BUCKETS } from "./time_counts.ts";
export { loadTrialDoubt, targetDoubt, targetFault } from "./version_fault.ts";
export * from "./version_tally.ts";
export * from "./version_watch.ts";
export * from "./workspace_use.ts";
export {
  cachedByMembers,
  createMembership,
  DEFAULT_MEMBERSHIP,
  groupSize,
  type MembershipEffect,
  type MembershipMessage,
  type MembershipOptions,
  type MembershipState,
  type StepContext,
} from "./membership_state.ts";
export { nextTickAtMs } from "./membership_probe.ts";
