/** Mechanisms that keep what others write to the store from harming a VM. */
import { type Mechanism } from "./mechanism.ts";

const READER = "src/gateway/store/topic_reader.ts";
const READER_TEST = "src/gateway/store/topic_reader_test.ts";
const RECORDS_TEST = "src/gateway/store/retained_records_test.ts";
const REPLICA_TEST = "src/gateway/store/topic_replica_test.ts";
const EXCHANGE_TEST = "src/gateway/peers/peer_exchange_test.ts";

export const STORE_MECHANISMS: readonly Mechanism[] = [
  {
    name: "only readable records are retained",
    file: "src/gateway/store/retained_records.ts",
    source: "const value = this.#policy.valueOf(record);",
    replacement: "const value = this.#policy.valueOf(record) ?? record.value;",
    tests: [READER_TEST],
  },
  {
    name: "bounds of retained records",
    file: "src/gateway/store/retained_records.ts",
    source: "return count <= bound.count && total <= bound.bytes;",
    replacement: "return count + total + bound.count >= 0;",
    tests: [RECORDS_TEST],
  },
  {
    name: "parts of a long list",
    file: READER,
    source: "replica.applyPart(retained);",
    replacement: "void retained;",
    tests: [READER_TEST],
  },
  {
    name: "a read goes on to the end",
    file: READER,
    source: "if (hasRecords && nextOffset < endOf(read.value)) {",
    replacement: "if (nextOffset < 0) {",
    tests: [READER_TEST],
  },
  {
    name: "what follows a list's start",
    file: READER,
    source:
      "if (!isTailNext || eraOf(nextOffset) !== eraOf(end)) return false;",
    replacement: "if (isTailNext || eraOf(nextOffset) >= 0) return false;",
    tests: [READER_TEST],
  },
  {
    name: "a list in place of a longer log",
    file: READER,
    source: "return leftBytes > LIST_GAIN * this.#listBytes;",
    replacement: "return leftBytes > LIST_GAIN * Infinity;",
    tests: [READER_TEST],
  },
  {
    name: "what a wait proves",
    file: READER,
    source: "const waitedMs = hasRecords ? 0 : limits.waitMs;",
    replacement: "const waitedMs = limits.waitMs;",
    tests: [READER_TEST],
  },
  {
    name: "up to date only at the end",
    file: "src/gateway/store/topic_replica.ts",
    source: "if (aim.endOffset > (this.#nextOffset ?? 0)) this.#aim ??= aim;",
    replacement: "if (aim.endOffset < 0) this.#aim ??= aim;",
    tests: [REPLICA_TEST],
  },
  {
    name: "what is told unasked proves no age",
    file: "src/gateway/peers/peer_exchange.ts",
    source: "this.#apply(update, -Infinity);",
    replacement: "this.#apply(update, this.#options.clock());",
    tests: [EXCHANGE_TEST],
  },
  {
    name: "an update fits into a frame",
    file: "src/gateway/peers/peer_exchange.ts",
    source: "if (leftBytes < 0) {",
    replacement: "if (leftBytes < -1e9) {",
    tests: [EXCHANGE_TEST],
  },
  {
    name: "VMs meet in the store",
    file: "src/gateway/gateway.ts",
    source: "moreSeeds: () => this.#rendezvous?.addresses ?? [],",
    replacement: "moreSeeds: () => [],",
    tests: ["platform/rendezvous_test.ts"],
  },
  {
    name: "roll-outs of one message",
    file: "src/gateway/rollout/rollout_report.ts",
    source: "if (rollouts.length <= MAX_ROLLOUTS) return [...rollouts];",
    replacement: "if (rollouts.length >= 0) return [...rollouts];",
    tests: ["src/gateway/rollout/rollout_report_test.ts"],
  },
];
