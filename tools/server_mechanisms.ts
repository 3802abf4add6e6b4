/**
 * The mechanisms that answer what backend servers say or send: limits, crashes
 * under a prompt, slow versions, answers without end or framing.
 */
import { type Mechanism } from "./mechanism.ts";

export const SERVER_MECHANISMS: readonly Mechanism[] = [
  {
    name: "server limit",
    file: "src/gateway/server_choice.ts",
    source: "closureOf(context, server) === undefined",
    replacement: "server !== undefined",
    tests: ["src/gateway/limited_server_test.ts"],
  },
  {
    name: "limit divided among the VMs",
    file: "src/decision/server_limit.ts",
    source: "return { perSecond: perSecond / vmCount,",
    replacement: "return { perSecond,",
    tests: ["src/decision/server_limit_test.ts"],
  },
  {
    name: "limits of other VMs",
    file: "src/gateway/server_limits.ts",
    source: "...limit } of limits)",
    replacement: "...limit } of limits.slice(limits.length))",
    tests: ["src/gateway/server_limits_test.ts"],
  },
  {
    name: "leaving, said in answers",
    file: "src/gateway/server_closure.ts",
    source: "if (statements.isLeaving(server)) {",
    replacement: "if (limits.waitMs(server) < 0) {",
    tests: ["src/gateway/server_statements_test.ts"],
  },
  {
    name: "pause that a server wants",
    file: "src/gateway/server_closure.ts",
    source: "statements.pauseLeftMs(server);",
    replacement: "0 * statements.pauseLeftMs(server);",
    tests: ["src/gateway/server_statements_test.ts"],
  },
  {
    name: "prompt quarantine",
    file: "src/gateway/server_choice.ts",
    source: "if (prompts.waitMs(sharedPartIds(caller)) !== undefined)",
    replacement: "if (prompts.waitMs([]) !== undefined)",
    tests: ["src/gateway/crashing_prompt_test.ts"],
  },
  {
    name: "parts with answers of late are sound",
    file: "src/decision/crash_evidence.ts",
    source: "if ((lastAnswerMs !== undefined) !== hasAnswer) continue;",
    replacement: "",
    tests: ["src/decision/crash_evidence_test.ts"],
  },
  {
    name: "servers that end at one moment",
    file: "src/decision/crash_evidence.ts",
    source: "if (atMs - lastMs <= SAME_MOMENT_MS) continue;",
    replacement: "",
    tests: ["src/gateway/prompt_quarantine_test.ts"],
  },
  {
    name: "crash reports of other VMs",
    file: "src/gateway/prompt_quarantine.ts",
    source: "...report } of crashes)",
    replacement: "...report } of crashes.slice(crashes.length))",
    tests: ["src/gateway/prompt_quarantine_test.ts"],
  },
  {
    name: "crash report withdrawn",
    file: "src/gateway/prompt_quarantine.ts",
    source: "if (!isProof || report.isWithdrawn) continue;",
    replacement: "if (isProof || !report.isWithdrawn) continue;",
    tests: ["src/gateway/prompt_quarantine_test.ts"],
  },
  {
    name: "one VM tries a quarantined part",
    file: "src/gateway/prompt_quarantine.ts",
    source: "if (isDue && this.#options.isTrialVm(nameOf(fatal)))",
    replacement: "if (isDue)",
    tests: ["src/gateway/prompt_quarantine_test.ts"],
  },
  {
    name: "pace of versions",
    file: "src/decision/version_tally.ts",
    source: "?? paceFault(tally)",
    replacement: "",
    tests: ["src/decision/version_tally_test.ts"],
  },
  {
    name: "pace corrected for load",
    file: "src/decision/version_tally.ts",
    source: "logSumsOf(pauseMs / loadFactor)",
    replacement: "logSumsOf(pauseMs * loadFactor / loadFactor)",
    tests: ["src/decision/version_tally_test.ts"],
  },
  {
    name: "memory of long answers",
    file: "src/gateway/answer_buffer.ts",
    source: "if (!this.#memory.take(chunk.length)) return false;",
    replacement: "",
    tests: ["src/gateway/answer_buffer_test.ts"],
  },
  {
    name: "many small parts",
    file: "src/gateway/answer_buffer.ts",
    source: "if (this.#chunks.length > MAX_PARTS) return false;",
    replacement: "",
    tests: ["src/gateway/endless_answer_test.ts"],
  },
  {
    name: "blank lines are no event",
    file: "src/gateway/event_splitter.ts",
    source: "if (hasField(bytes.subarray(blockStart, end))) {",
    replacement: "if (end > blockStart) {",
    tests: ["src/gateway/endless_answer_test.ts"],
  },
  {
    name: "a stream that ends inside an event",
    file: "src/gateway/stream_relay.ts",
    source: "if (this.#splitter.isInsideEvent) return false;",
    replacement: "",
    tests: ["src/gateway/unframed_stream_test.ts"],
  },
  {
    name: "an unframed answer is reset",
    file: "src/gateway/caller_exchange.ts",
    source: "else this.#response.socket?.resetAndDestroy();",
    replacement: "else this.#response.destroy();",
    tests: ["src/gateway/unframed_stream_test.ts"],
  },
];
