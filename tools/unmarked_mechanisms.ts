/** Mechanisms that tell the end of an answer from the end of its connection. */
import { type Mechanism } from "./mechanism.ts";

const END_TEST = "src/gateway/forwarding/unmarked_end_test.ts";
const SERVER_TEST = "src/gateway/forwarding/ended_server_test.ts";
const VM_TEST = "src/gateway/forwarding/unmarked_vm_end_test.ts";

export const UNMARKED_MECHANISMS: readonly Mechanism[] = [
  {
    name: "two runs agree on an unmarked end",
    file: "src/gateway/forwarding/attempt_history.ts",
    source: "|| this.#earlierUnmarkedId === lastId;",
    replacement: "|| lastId >= 0;",
    tests: [END_TEST],
  },
  {
    name: "an unmarked end is forgotten after a break",
    file: "src/gateway/forwarding/attempt_history.ts",
    source: "this.#unmarkedId = undefined;",
    replacement: "",
    tests: [END_TEST],
  },
  {
    name: "a caller that resumes can finish unmarked",
    file: "src/decision/answer_end.ts",
    source: "return !isBegun && neverMarksEnds;",
    replacement: "return isBegun && neverMarksEnds;",
    tests: [END_TEST],
  },
  {
    name: "an empty end where servers mark ends is none",
    file: "src/decision/answer_end.ts",
    source: "return !isBegun && neverMarksEnds;",
    replacement: "return !isBegun || neverMarksEnds;",
    tests: [END_TEST],
  },
  {
    name: "no crash by an empty end of a resumed stream",
    file: "src/gateway/servers/server_attempt.ts",
    source: "return this.#options.request.lastEventId === undefined;",
    replacement: "return true;",
    tests: [END_TEST],
  },
  {
    name: "a process that ended ended no unmarked answer",
    file: "src/gateway/servers/server_attempt.ts",
    source: 'if (verdict === "meant") return this.#complete(head);',
    replacement: "return this.#complete(head);",
    tests: [SERVER_TEST],
  },
  {
    name: "an end that is read late proves nothing",
    file: "src/decision/answer_end.ts",
    source: 'return isReadInTime ? "meant" : "unproved";',
    replacement: 'return isReadInTime ? "meant" : "meant";',
    tests: [SERVER_TEST],
  },
  {
    name: "another process does not vouch for an end",
    file: "src/decision/answer_end.ts",
    source: "if (!isSenderListening || isSenderReplaced) return",
    replacement: "if (!isSenderListening) return",
    tests: [SERVER_TEST],
  },
  {
    name: "a VM that ended ended no unmarked answer",
    file: "src/gateway/forwarding/vm_attempt.ts",
    source: 'if (verdict === "meant") return this.#complete(head);',
    replacement: "return this.#complete(head);",
    tests: [VM_TEST],
  },
  {
    name: "no repeat of a stream without numbers",
    file: "src/gateway/callers/stream_relay.ts",
    source: "return !this.#hasEvent || this.#lastId !== undefined;",
    replacement: "return true;",
    tests: ["src/gateway/forwarding/broken_stream_test.ts"],
  },
  {
    name: "a reset behind an end",
    file: "src/gateway/servers/backend_exchange.ts",
    source: "if (this.#mayBeResetLate) setTimeout",
    replacement: "if (this.#isOver) setTimeout",
    tests: ["src/gateway/forwarding/upload_reset_test.ts"],
  },
];
