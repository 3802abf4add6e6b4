/** The product's route policy and its baselines, by name. */
import {
  createRoundRobin,
  leastReportedLoad,
  randomChoice,
  type RoutePolicy,
  twoChoices,
} from "../../src/decision/mod.ts";

/** The policies by name. */
export function policyOf(name: string): RoutePolicy {
  switch (name) {
    case "random":
      return randomChoice;
    case "round robin":
      return createRoundRobin();
    case "least reported load":
      return leastReportedLoad;
    default:
      return twoChoices;
  }
}
