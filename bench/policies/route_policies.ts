/** The default route policy and the baselines it is compared with, by name. */
import {
  createRoundRobin,
  leastReportedLoad,
  randomChoice,
  type RoutePolicy,
  twoChoices,
} from "../../src/decision/mod.ts";

/** Returns the policy of a name, or the default one for any other name. */
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
