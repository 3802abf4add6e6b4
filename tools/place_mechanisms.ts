/** The mechanisms of evacuated data centres, and of the directory of VMs. */
import { type Mechanism } from "./mechanism.ts";

const EVACUATION_TEST = "src/gateway/servers/evacuation_test.ts";
const EVACUATIONS_TEST = "src/gateway/servers/evacuations_test.ts";
const EVIDENCE_TEST = "src/decision/membership_evidence_test.ts";
const DIRECTORY_TEST = "src/decision/entry_failures_test.ts";

export const PLACE_MECHANISMS: readonly Mechanism[] = [
  {
    name: "evacuated data centres are closed",
    file: "src/gateway/servers/server_closure.ts",
    source: "if (evacuations.isEvacuated(server.place)) {",
    replacement: "if (server.place === evacuations.toString()) {",
    tests: [EVACUATIONS_TEST, EVACUATION_TEST],
  },
  {
    name: "a copy undoes no later evacuation record",
    file: "src/decision/evacuation.ts",
    source: "if (!isLater) return first;",
    replacement: "",
    tests: ["src/decision/evacuation_test.ts"],
  },
  {
    name: "a list that lacks an order does not end it",
    file: "src/gateway/store/topic_replica.ts",
    source: "if (!isDropped || this.#keepsMissing(key)) continue;",
    replacement: "if (!isDropped) continue;",
    tests: ["src/gateway/store/topic_replica_test.ts"],
  },
  {
    name: "evacuations of other VMs",
    file: "src/gateway/peers/peer_exchange.ts",
    source: "this.#options.evacuations.merge(update.evacuations);",
    replacement: "",
    tests: [EVACUATION_TEST],
  },
  {
    name: "longest wait for an evacuation",
    file: "src/gateway/store/store_feed.ts",
    source: "EVACUATION_WAIT_SHARE * settings.evacuateMs,",
    replacement: "Infinity,",
    tests: [EVACUATION_TEST],
  },
  {
    name: "a target in an evacuated data centre",
    file: "src/gateway/rollout/version_choice.ts",
    source: "allowsPlace(place) && !isEvacuated(place);",
    replacement: "allowsPlace(place) && isEvacuated !== undefined;",
    tests: ["src/gateway/rollout/rollout_registry_test.ts"],
  },
  {
    name: "VMs known to be alive",
    file: "src/decision/entry_addresses.ts",
    source: "if (!isSure(member)) continue;",
    replacement: "",
    tests: [DIRECTORY_TEST],
  },
  {
    name: "evidence after a break",
    file: "src/decision/membership_evidence.ts",
    source: "  withdrawEvidence(draft, () => true);\n",
    replacement: "",
    tests: [EVIDENCE_TEST],
  },
  {
    name: "what waited during a break",
    file: "src/decision/membership_evidence.ts",
    source: "return nowMs - returnedAtMs < BACKLOG_MS;",
    replacement: "return nowMs < returnedAtMs;",
    tests: [EVIDENCE_TEST],
  },
  {
    name: "age of hearsay",
    file: "src/decision/membership_evidence.ts",
    source: "heardMs > MAX_HEARSAY_MS",
    replacement: "heardMs > 100 * MAX_HEARSAY_MS",
    tests: [EVIDENCE_TEST],
  },
  {
    name: "silent places are not advertised",
    file: "src/decision/membership_evidence.ts",
    source: "      PLACE_SILENCE_MS;",
    replacement: "      Infinity;",
    tests: [DIRECTORY_TEST],
  },
  {
    name: "evidence after the silence of a place",
    file: "src/decision/membership_evidence.ts",
    source: "withdrawEvidence(draft, (member) => member.place === place);",
    replacement: "",
    tests: [EVIDENCE_TEST],
  },
  {
    name: "steady clock",
    file: "src/gateway/store/topic_replica.ts",
    source: "return this.#clock() - this.#currentAtMs;",
    replacement: "return Date.now() - this.#currentAtMs;",
    tests: ["tools/wall_clock_test.ts"],
  },
];
