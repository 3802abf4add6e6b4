/** Mechanisms that keep bounds when connections, servers or VMs break. */
import { type Mechanism } from "./mechanism.ts";

const HALF_CLOSED_TEST = "src/gateway/callers/half_closed_caller_test.ts";
const ANSWER_END_TEST = "src/gateway/callers/answer_end_test.ts";
const STREAM_TEST = "src/gateway/forwarding/broken_stream_test.ts";

export const INCIDENT_MECHANISMS: readonly Mechanism[] = [
  {
    name: "no slack in a VM's first window",
    file: "src/gateway/forwarding/retry_budget.ts",
    source: "if (this.#isStarting || vmCount === undefined) {",
    replacement: "if (vmCount === undefined) {",
    tests: ["src/gateway/forwarding/retry_budget_test.ts"],
  },
  {
    name: "a relayed request counts once",
    file: "src/gateway/forwarding/forwarding.ts",
    source: "if (!caller.isRelayed) this.#context.budget.earn(service);",
    replacement: "this.#context.budget.earn(service);",
    tests: ["src/gateway/forwarding/vm_attempt_test.ts"],
  },
  {
    name: "short limits of store calls",
    file: "src/gateway/store/topic_follower.ts",
    source: "return { waitMs: isWaiting ? waitMs : 0, answerMs };",
    replacement:
      "return { waitMs, answerMs: isStoreReader() ? LONGEST_ANSWER_MS : answerMs + LONGEST_ANSWER_MS };",
    tests: ["test/state/silent_store_test.ts"],
  },
  {
    name: "connecting counts to a query's limit",
    file: "src/wire/peer_node.ts",
    source: "const expired = this.#options.sleep(timeoutMs, timer.signal)",
    replacement:
      "const expired = this.#options.sleep(10 * timeoutMs, timer.signal)",
    tests: ["src/wire/peer_node_test.ts"],
  },
  {
    name: "changes only from where all are known",
    file: "src/gateway/store/topic_replica.ts",
    source:
      "if (nextOffset > endBefore) this.#firstCompleteOffset = nextOffset;",
    replacement: "if (nextOffset < endBefore) this.#firstCompleteOffset = 0;",
    tests: ["src/gateway/store/topic_replica_gap_test.ts"],
  },
  {
    name: "changes apply to what came before",
    file: "src/gateway/store/topic_replica.ts",
    source: "if ((update.sinceOffset ?? ownOffset) > ownOffset) return;",
    replacement: "",
    tests: ["src/gateway/store/topic_replica_test.ts"],
  },
  {
    name: "a copy passed on brings nothing back",
    file: "src/gateway/store/topic_replica.ts",
    source: "? listed.offset < copiedBefore",
    replacement: "? copiedBefore < 0",
    tests: ["src/gateway/store/topic_replica_era_test.ts"],
  },
  {
    name: "a record after a copy takes its offset",
    file: "src/gateway/store/topic_replica.ts",
    source: "current.offset >= this.#copiedBefore;",
    replacement: "current.offset >= 0;",
    tests: ["src/gateway/store/topic_replica_era_test.ts"],
  },
  {
    name: "an exception in a request's admission",
    file: "src/gateway/callers/request_intake.ts",
    source:
      'exchange.refuse({ status, reason: "internal_error" });\n      return undefined;',
    replacement: "throw error;",
    tests: ["src/gateway/forwarding/request_exception_test.ts"],
  },
  {
    name: "an exception in a request's forwarding",
    file: "src/gateway/servers/backend_exchange.ts",
    source: "this.#events.onException(error as Error);",
    replacement: "throw error;",
    tests: ["src/gateway/forwarding/request_exception_test.ts"],
  },
  {
    name: "equal values of a list take its offsets",
    file: "src/gateway/store/topic_replica.ts",
    source: "!isOfWhole && eraOf(current.offset) === eraOf(record.offset) &&",
    replacement: "eraOf(current.offset) === eraOf(record.offset) &&",
    tests: ["src/gateway/store/topic_replica_gap_test.ts"],
  },
  {
    name: "only a stream continues a stream",
    file: "src/gateway/callers/stream_relay.ts",
    source: "return head.status === this.#head.status &&",
    replacement: "return head.status < 600 ||",
    tests: [STREAM_TEST],
  },
  {
    name: "no answer after a stream's head",
    file: "src/gateway/forwarding/forwarding.ts",
    source: 'if (this.#exchange.isHeadSent) return this.#retry("no_stream");',
    replacement: "",
    tests: [STREAM_TEST],
  },
  {
    name: "a resumed stream begins with a number",
    file: "src/gateway/callers/stream_relay.ts",
    source: "if (id === undefined) return !this.#isResuming;",
    replacement: "if (id === undefined) return true;",
    tests: [STREAM_TEST],
  },
  {
    name: "length of every body",
    file: "src/gateway/servers/backend_exchange.ts",
    source: "const isStated = length > 0 ||",
    replacement: "const isStated = length < 0 ||",
    tests: ["src/gateway/servers/body_framing_test.ts"],
  },
  {
    name: "a close after a complete answer",
    file: "src/gateway/servers/backend_exchange.ts",
    source:
      'if (this.#isAnswerComplete) return;\n      this.#fail(this.#faultKind(false), "closed");',
    replacement: 'this.#fail(this.#faultKind(false), "closed");',
    tests: ["src/gateway/servers/paused_answer_test.ts"],
  },
  {
    name: "a reset that Node shows as an end",
    file: "src/gateway/servers/backend_exchange.ts",
    source: "this.#isReset = socket.remoteAddress === undefined;",
    replacement: "this.#isReset = false;",
    tests: ["src/gateway/servers/hidden_reset_test.ts"],
  },
  {
    name: "no body in a coding that is dropped",
    file: "platform/headers.ts",
    source:
      'if (coding !== undefined && coding !== CHUNKED) return "unknown coding";',
    replacement: "",
    tests: ["platform/request_framing_test.ts"],
  },
  {
    name: "an unframed answer to a half-closed caller",
    file: "src/gateway/callers/caller_connection.ts",
    source: "if (this.#open[0]?.isCutByEnd === true) this.#resetSoon();",
    replacement: "",
    tests: ["src/gateway/callers/unframed_stream_test.ts"],
  },
  {
    name: "a cut answer to a caller that ends its side",
    file: "src/gateway/callers/caller_connection.ts",
    source: "if (this.#resetTimer === undefined) this.#socket.end();",
    replacement: "this.#socket.end();",
    tests: [HALF_CLOSED_TEST],
  },
  {
    name: "connections that end themselves",
    file: "src/gateway/callers/caller_server.ts",
    source: "Object.assign(this.#server, { httpAllowHalfOpen: true });",
    replacement: "",
    tests: ["src/gateway/callers/unframed_stream_test.ts"],
  },
  {
    name: "time to read before a reset",
    file: "src/gateway/callers/caller_connection.ts",
    source: "const CUT_MS = 200;",
    replacement: "const CUT_MS = 0;",
    tests: [HALF_CLOSED_TEST],
  },
  {
    name: "resets before a VM ends",
    file: "src/gateway/callers/caller_connection.ts",
    source: "if (isCut || this.#resetTimer !== undefined) {",
    replacement: "if (isCut && this.#closeCause === undefined) {",
    tests: [ANSWER_END_TEST],
  },
  {
    name: "what follows a complete answer",
    file: "src/gateway/servers/backend_exchange.ts",
    source: "if (this.#isAnswerComplete) return;\n      const",
    replacement: "const",
    tests: ["src/gateway/servers/paused_answer_test.ts"],
  },
  {
    name: "the newest order of an era",
    file: "src/gateway/rollout/rollout_order.ts",
    source: 'return isOtherEra || isCopied ? "again" : "new";',
    replacement: 'return isOtherEra || isCopied ? "again" : "old";',
    tests: ["src/gateway/rollout/rollout_order_test.ts"],
  },
];
