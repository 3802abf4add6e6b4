/**
 * The mechanisms of the gateway, each with the line that carries it, a change
 * that takes it out, and the test files of which one has to fail then.
 */

import { ADMISSION_MECHANISMS } from "./admission_mechanisms.ts";
import { CLIENT_MECHANISMS } from "./client_mechanisms.ts";
import { UNMARKED_MECHANISMS } from "./unmarked_mechanisms.ts";
import { INCIDENT_MECHANISMS } from "./incident_mechanisms.ts";
import { type Mechanism } from "./mechanism.ts";
import { PLACE_MECHANISMS } from "./place_mechanisms.ts";
import { REGION_MECHANISMS } from "./region_mechanisms.ts";
import { SERVER_MECHANISMS } from "./server_mechanisms.ts";
import { SERVER_START_MECHANISMS } from "./server_start_mechanisms.ts";
import { STORE_MECHANISMS } from "./store_mechanisms.ts";

const ANSWER_LENGTH_TEST = "src/gateway/callers/answer_length_test.ts";
const FORWARDING_TEST = "src/gateway/forwarding/forwarding_test.ts";
const GATEWAY_TEST = "src/gateway/gateway_test.ts";
const REGISTRY_TEST = "src/gateway/rollout/rollout_registry_test.ts";
const SESSION_TEST = "src/gateway/rollout/rollout_session_test.ts";
const HOME_TEST = "src/decision/prompt_home_test.ts";
const CHOICE_TEST = "src/decision/backend_choice_test.ts";

export const MECHANISMS: readonly Mechanism[] = [
  {
    name: "retry window",
    file: "src/decision/retry_window.ts",
    source: "return { leftCount: allowedCount - retryCount, allowedCount };",
    replacement: "return { leftCount: Infinity, allowedCount };",
    tests: ["src/decision/retry_window_test.ts"],
  },
  {
    name: "silence timeout",
    file: "src/gateway/forwarding/forwarding.ts",
    source: "if (attempt === undefined || this.#exchange.isOver) return;",
    replacement: "if (attempt !== undefined) return;",
    tests: [FORWARDING_TEST],
  },
  {
    name: "signs of work",
    file: "src/decision/silence.ts",
    source:
      "if (isOverdue && nextMs() + errorMs < request.remainingMs) return 0;",
    replacement: "return 0;",
    tests: ["src/decision/silence_test.ts"],
  },
  {
    name: "signs of work since the request was sent",
    file: "src/decision/silence.ts",
    source: "if (request.signAgeMs >= silentMs || signLeftMs <= 0) return 0;",
    replacement: "",
    tests: ["src/gateway/forwarding/silence_watch_test.ts"],
  },
  {
    name: "at most one run of other requests",
    file: "src/gateway/forwarding/attempt_history.ts",
    source: "return isRetriable(this.#route) &&\n      this.#runCount <",
    replacement: "return this.#runCount <",
    tests: ["src/gateway/forwarding/attempt_history_test.ts"],
  },
  {
    name: "attempt limit",
    file: "src/gateway/forwarding/attempt_history.ts",
    source: "return this.#attemptCount < this.#route.maxAttempts +",
    replacement: "return this.#attemptCount < 1000 +",
    tests: ["src/gateway/forwarding/attempt_history_test.ts"],
  },
  {
    name: "limit of servers that may run a request",
    file: "src/gateway/forwarding/attempt_history.ts",
    source: "this.#runCount < this.#maxRunCount;",
    replacement: "this.#runCount < 1000;",
    tests: ["src/gateway/forwarding/attempt_history_test.ts"],
  },
  {
    name: "runs of a relayed request",
    file: "src/gateway/forwarding/attempt_history.ts",
    source: "this.#runCount += this.#currentRunCount;",
    replacement: "this.#runCount += 1;",
    tests: ["src/gateway/forwarding/attempt_history_test.ts"],
  },
  {
    name: "resumption after the last event",
    file: "src/gateway/forwarding/forwarding.ts",
    source: "this.#relay?.lastId?.toString() ?? caller.lastEventId",
    replacement: "caller.lastEventId",
    tests: [FORWARDING_TEST],
  },
  {
    name: "consecutive events",
    file: "src/gateway/callers/stream_relay.ts",
    source: 'if (!this.#isNextId(id)) return "out_of_order";',
    replacement: "",
    tests: [FORWARDING_TEST],
  },
  {
    name: "answer belongs to the request",
    file: "src/gateway/servers/server_attempt.ts",
    source: 'if (isForeign) return this.#fail("broken", "foreign_answer");',
    replacement: "",
    tests: [FORWARDING_TEST],
  },
  {
    name: "answer is genuine",
    file: "src/gateway/servers/server_attempt.ts",
    source: "if (status < 300 && !head.isGenuine) {",
    replacement: "if (status < 0) {",
    tests: ["src/gateway/servers/server_attempt_test.ts"],
  },
  {
    name: "the length of a whole answer",
    file: "src/gateway/callers/caller_exchange.ts",
    source: '? ["Content-Length", String(body.length)]',
    replacement: "? []",
    tests: [FORWARDING_TEST, ANSWER_LENGTH_TEST],
  },
  {
    name: "no length for an end that was not marked",
    file: "src/gateway/callers/caller_exchange.ts",
    source: "const length = isEndMarked && hasBody",
    replacement: "const length = hasBody",
    tests: [FORWARDING_TEST],
  },
  {
    name: "no length of an answer without a body",
    file: "src/gateway/callers/caller_exchange.ts",
    source: "const hasBody = !BODILESS_STATUSES.includes(status);",
    replacement: "const hasBody = !BODILESS_STATUSES.includes(0 * status);",
    tests: [ANSWER_LENGTH_TEST],
  },
  {
    name: "every stream in chunks",
    file: "src/gateway/callers/caller_exchange.ts",
    source: "if (!this.#knowsChunks) ",
    replacement: "",
    tests: ["src/gateway/callers/ending_vm_test.ts"],
  },
  {
    name: "a long unmarked answer in chunks",
    file: "src/gateway/callers/caller_exchange.ts",
    source: "return isAtomic || !this.#knowsChunks",
    replacement: "return isAtomic || this.#knowsChunks",
    tests: ["src/gateway/callers/ending_vm_test.ts"],
  },
  {
    name: "no chunks to callers that do not know them",
    file: "src/gateway/callers/caller_exchange.ts",
    source: "this.#response.useChunkedEncodingByDefault = false;",
    replacement: "",
    tests: [ANSWER_LENGTH_TEST],
  },
  {
    name: "cancellation when the caller leaves",
    file: "src/gateway/forwarding/forwarding.ts",
    source: '() => this.#finish("caller_gone")',
    replacement: "() => {}",
    tests: [FORWARDING_TEST],
  },
  {
    name: "route's time limit",
    file: "src/gateway/forwarding/forwarding.ts",
    source: "Math.min(caller.deadlineMs ?? Infinity, route.timeoutMs)",
    replacement: "caller.deadlineMs ?? 60_000",
    tests: [FORWARDING_TEST],
  },
  {
    name: "circuit breaker",
    file: "src/decision/breaker.ts",
    source: 'return state.phase === "closed" || nowMs >= state.openUntilMs;',
    replacement: "return state.phase !== undefined || nowMs > 0;",
    tests: ["src/decision/breaker_test.ts"],
  },
  {
    name: "failure share",
    file: "src/decision/backend_choice.ts",
    source: "risk * riskMs +",
    replacement: "0 * risk * riskMs +",
    tests: [CHOICE_TEST],
  },
  {
    name: "suspect servers are avoided",
    file: "src/decision/backend_choice.ts",
    source: "candidates.filter((candidate) => !candidate.isSuspect)",
    replacement: "candidates.filter((candidate) => candidate.id !== undefined)",
    tests: [CHOICE_TEST],
  },
  {
    name: "prompt affinity",
    file: "src/decision/backend_choice.ts",
    source: "COLD_SHARES[kind] * savedMs;",
    replacement: "0 * savedMs;",
    tests: [CHOICE_TEST],
  },
  {
    name: "home of a prompt in its region",
    file: "src/decision/prompt_home.ts",
    source: "distanceMs(place) - nearestMs < savedMs ||",
    replacement: "",
    tests: [HOME_TEST],
  },
  {
    name: "homes by rate of a prompt",
    file: "src/decision/prompt_home.ts",
    source: "const requestCount = perSecond * holdMs / 1000;",
    replacement: "const requestCount = 0 * perSecond * holdMs;",
    tests: [HOME_TEST],
  },
  {
    name: "home without a queue",
    file: "src/decision/prompt_home.ts",
    source: "candidate.waitMs < savedMs;",
    replacement: "candidate.waitMs < Infinity;",
    tests: [HOME_TEST],
  },
  {
    name: "few random servers of each distance",
    file: "src/decision/backend_choice.ts",
    source: "const SAMPLES_PER_DISTANCE = 3;",
    replacement: "const SAMPLES_PER_DISTANCE = 1000;",
    tests: ["src/decision/shared_load_test.ts"],
  },
  {
    name: "newest load wins",
    file: "src/decision/shared_observation.ts",
    source: "next.observedAtMs > current.observedAtMs ? next : current",
    replacement: "next.observedAtMs > -1 ? next : current",
    tests: [
      "src/decision/shared_load_test.ts",
      "src/gateway/servers/backend_fleet_test.ts",
    ],
  },
  {
    name: "loads are shared",
    file: "src/gateway/servers/backend_fleet.ts",
    source: "state.load = newerOf(state.load, receivedLoad(load, nowMs));",
    replacement: "newerOf(state.load, receivedLoad(load, nowMs));",
    tests: ["src/gateway/servers/backend_fleet_test.ts"],
  },
  {
    name: "brownout",
    file: "src/gateway/forwarding/escalation_choice.ts",
    source: "nextModel({ ...answer, pressureShare }) !== undefined;",
    replacement: "pressureShare >= 0;",
    tests: ["src/gateway/forwarding/escalation_choice_test.ts"],
  },
  {
    name: "version pin of a session",
    file: "src/gateway/rollout/version_choice.ts",
    source: "if (!keepsSessions(rollout, nowMs)) {",
    replacement: "if (isMultiRequest) {",
    tests: [SESSION_TEST, REGISTRY_TEST],
  },
  {
    name: "hold of sessions without a server",
    file: "src/gateway/rollout/version_choice.ts",
    source: "const isHeld = session.isMultiRequest &&",
    replacement: "const isHeld = !session.isMultiRequest &&",
    tests: [REGISTRY_TEST],
  },
  {
    name: "hold of sessions on a target",
    file: "src/gateway/rollout/version_choice.ts",
    source: "const isHeld = !isEnded(rollout.stage) &&",
    replacement: "const isHeld = isEnded(rollout.stage) &&",
    tests: [REGISTRY_TEST],
  },
  {
    name: "versions that an earlier order has left",
    file: "src/gateway/rollout/rollout_record.ts",
    source: "if (isLeft || earlier.setAside.has(version))",
    replacement: "if (isLeft && nowMs < 0)",
    tests: ["src/gateway/rollout/rollout_site_play_test.ts"],
  },
  {
    name: "age of the orders",
    file: "src/gateway/rollout/observed_versions.ts",
    source: "clock() - ordersAgeMs() - UNORDERED_VERSION_DELAY_MS",
    replacement: "clock() - 0 * ordersAgeMs() - UNORDERED_VERSION_DELAY_MS",
    tests: [REGISTRY_TEST],
  },
  {
    name: "places of sessions that keep their version",
    file: "src/gateway/rollout/version_choice.ts",
    source: "if (isChosen && !isRetry) rollout.freePlaceCount += 1;",
    replacement: "",
    tests: [REGISTRY_TEST],
  },
  {
    name: "exposure share",
    file: "src/decision/ordered_rollout.ts",
    source: "return canaryShare * CANARY_USE_SHARE;",
    replacement: "return 2 * canaryShare;",
    tests: ["src/decision/ordered_rollout_test.ts"],
  },
  {
    name: "a bad version gets no requests",
    file: "src/decision/ordered_rollout.ts",
    source: 'stage === "reverted" || fault !== undefined) return 0;',
    replacement: 'stage === "reverted") return 0;',
    tests: ["src/decision/ordered_rollout_test.ts"],
  },
  {
    name: "tallies of other VMs",
    file: "src/gateway/rollout/rollout_record.ts",
    source:
      "...[...this.#received.values()].map(({ vmTally }) => vmTally.tally),",
    replacement: "",
    tests: ["src/gateway/rollout/rollout_record_test.ts"],
  },
  {
    name: "completed is final",
    file: "src/gateway/rollout/rollout_registry.ts",
    source: 'if (status.stage === "completed") rollout.fault = undefined;',
    replacement: "",
    tests: [REGISTRY_TEST],
  },
  {
    name: "one writer of statuses",
    file: "src/gateway/rollout/rollout_status_writer.ts",
    source: "if (rank === undefined) return false;",
    replacement: "if (rank === undefined) return true;",
    tests: ["src/gateway/rollout/rollout_status_writer_test.ts"],
  },
  {
    name: "store reader fallback",
    file: "src/gateway/peers/peer_exchange.ts",
    source:
      "if (topic !== undefined) replicas[name].applyUpdate(topic, sentAtMs);",
    replacement: "",
    tests: [GATEWAY_TEST],
  },
  {
    name: "record order",
    file: "src/gateway/store/topic_replica.ts",
    source: "if (record.offset < knownEnd) return undefined;",
    replacement: "if (record.offset < -1e9) return undefined;",
    tests: [
      "src/gateway/store/topic_replica_test.ts",
      "src/gateway/store/topic_replica_order_test.ts",
    ],
  },
  {
    name: "order by era",
    file: "src/gateway/store/store_position.ts",
    source: "return era * OFFSETS_PER_ERA + offset;",
    replacement: "return 0 * era + offset;",
    tests: [
      "src/gateway/store/topic_replica_era_test.ts",
      "src/gateway/store/store_restored_test.ts",
    ],
  },
  {
    name: "a copy undoes no newer entry",
    file: "src/gateway/store/topic_replica.ts",
    source: "return isKept ? { ...listed, value: known.value } : listed;",
    replacement: "return isKept ? listed : listed;",
    tests: [
      "src/gateway/store/topic_replica_era_test.ts",
      "src/gateway/store/store_restored_test.ts",
    ],
  },
  {
    name: "entries that a copy lacks stay for a time",
    file: "src/gateway/store/store_feed.ts",
    source: "if (isAfterOutage || restoredFrom !== undefined) {",
    replacement: "if (isAfterOutage) {",
    tests: ["src/gateway/store/store_restored_test.ts"],
  },
  {
    name: "an order that is written again goes on",
    file: "src/gateway/rollout/rollout_order.ts",
    source: 'return isOtherEra || isCopied ? "again" : "new";',
    replacement: 'return "new";',
    tests: [
      "src/gateway/rollout/rollout_order_test.ts",
      "src/gateway/rollout/rollout_restored_test.ts",
    ],
  },
  {
    name: "a copy brings back no earlier order",
    file: "src/gateway/rollout/rollout_order.ts",
    source: 'earlier.some((one) => isCopyOf(order, one))) return "old";',
    replacement: 'earlier.some((one) => isCopyOf(order, one))) return "new";',
    tests: [
      "src/gateway/rollout/rollout_order_test.ts",
      "src/gateway/rollout/rollout_restored_test.ts",
    ],
  },
  {
    name: "a lost status is written again",
    file: "src/gateway/rollout/rollout_record.ts",
    source: "this.isStatusLost = this.stage !== undefined;",
    replacement: "this.isStatusLost = false;",
    tests: ["src/gateway/rollout/rollout_restored_test.ts"],
  },
  {
    name: "an offset of an older era is not read from",
    file: "platform/store.ts",
    source: "if (era !== eraOf(offset)) return err(RESTORED);",
    replacement: "",
    tests: ["platform/store_test.ts"],
  },
  {
    name: "manifest order",
    file: "src/gateway/gateway_state.ts",
    source: "if (manifest.version <= before) return;",
    replacement: "",
    tests: [GATEWAY_TEST],
  },
  {
    name: "draining servers get no new work",
    file: "src/gateway/servers/backend_fleet.ts",
    source: 'if (server.status !== "ready") continue;\n      if (!query',
    replacement: "if (!query",
    tests: [GATEWAY_TEST],
  },
  {
    name: "window by the clock",
    file: "src/decision/shutdown.ts",
    source: '"withdrawn" && !isWithdrawalOver(state, nowMs);',
    replacement: '"withdrawn";',
    tests: ["src/decision/shutdown_test.ts"],
  },
  {
    name: "answers at the end of a VM",
    file: "src/gateway/forwarding/forwarding.ts",
    source: 'this.#endUnanswered("vm_stopped", { sentStatus: 502 });',
    replacement: "",
    tests: [GATEWAY_TEST],
  },
  {
    name: "shutdown ages",
    file: "src/gateway/gateway_shutdown.ts",
    source: "entryMaxAgeMs: ENTRY_AGE_FACTOR * options.settings.entryMaxAgeMs,",
    replacement: "entryMaxAgeMs: 0,",
    tests: ["src/gateway/gateway_shutdown_test.ts"],
  },
  {
    name: "admission by route",
    file: "src/gateway/callers/request_admission.ts",
    source: 'return { status: 404, reason: "no_route" };',
    replacement: 'return { status: 503, reason: "no_route" };',
    tests: ["src/gateway/callers/caller_server_test.ts"],
  },
  {
    name: "admission by key",
    file: "src/gateway/callers/request_admission.ts",
    source:
      "if (routes.needsKey && !route.isPublic && workspace === undefined) {",
    replacement:
      "if (routes.needsKey && !route.isPublic && route.name === '') {",
    tests: ["src/gateway/callers/caller_server_test.ts"],
  },
  {
    name: "body bound as it arrives",
    file: "src/gateway/callers/body_reader.ts",
    source: "if (collector.length > maxBodyBytes)",
    replacement: "if (collector.length < 0)",
    tests: ["src/gateway/callers/caller_server_test.ts"],
  },
  {
    name: "body bound by its length",
    file: "src/gateway/callers/caller_server.ts",
    source: "if (length > maxBodyBytes) return",
    replacement: "if (length < 0) return",
    tests: ["src/gateway/callers/caller_server_test.ts"],
  },
  {
    name: "head bound",
    file: "src/gateway/callers/caller_server.ts",
    source: "if (headSizeBytes(request) > maxHeaderBytes) {",
    replacement: "if (headSizeBytes(request) < 0) {",
    tests: ["src/gateway/callers/caller_server_test.ts"],
  },
  ...PLACE_MECHANISMS,
  ...ADMISSION_MECHANISMS,
  ...REGION_MECHANISMS,
  ...SERVER_MECHANISMS,
  ...SERVER_START_MECHANISMS,
  ...STORE_MECHANISMS,
  ...INCIDENT_MECHANISMS,
  ...UNMARKED_MECHANISMS,
  ...CLIENT_MECHANISMS,
];
