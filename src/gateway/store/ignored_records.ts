/**
 * Counts and logs the store's records that are ignored. Another program may write
 * any number of them, so the log lines are bounded and name how many had none.
 */
import { type Clock, type Logger } from "../../model/mod.ts";
import { type TopicName } from "../peers/peer_update.ts";
import { type GatewayMetrics } from "../telemetry/gateway_metrics.ts";
import { type IgnoredReason } from "./retained_records.ts";
import { offsetOf } from "./store_position.ts";
import { type StoreRecord } from "./store_record.ts";

export interface IgnoredRecordsOptions {
  readonly metrics: GatewayMetrics;
  readonly clock: Clock;
  readonly logger: Logger;
}

const MAX_LINES = 64;
/** After the first lines, one is written each time this has passed. */
const LINE_PERIOD_MS = 10_000;
const MAX_LOGGED_KEY_LENGTH = 64;
const METRICS: Readonly<Record<IgnoredReason, string>> = {
  unreadable: "records_unreadable",
  "no room": "records_without_room",
};

/** The ignored records of all topics. */
export class IgnoredRecords {
  readonly #options: IgnoredRecordsOptions;
  #lineCount = 0;
  #unloggedCount = 0;
  #loggedAtMs = -Infinity;

  constructor(options: IgnoredRecordsOptions) {
    this.#options = options;
  }

  add(
    topic: TopicName,
    { key, value, offset }: StoreRecord,
    reason: IgnoredReason,
  ): void {
    const { metrics, clock, logger } = this.#options;
    metrics.count(METRICS[reason], { topic });
    const nowMs = clock();
    const isDue = this.#lineCount < MAX_LINES ||
      nowMs - this.#loggedAtMs >= LINE_PERIOD_MS;
    if (!isDue) {
      this.#unloggedCount += 1;
      return;
    }
    logger.warn("record ignored", {
      topic,
      reason,
      key: key.slice(0, MAX_LOGGED_KEY_LENGTH),
      offset: offsetOf(offset),
      bytes: value?.length,
      unloggedCount: this.#unloggedCount,
    });
    this.#lineCount += 1;
    this.#unloggedCount = 0;
    this.#loggedAtMs = nowMs;
  }
}
