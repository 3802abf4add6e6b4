/**
 * Writes the status of each roll-out to the store. The store reader of the
 * first rank writes it; the next ones write only when it is overdue, so that a
 * VM that is killed, frozen or cut off delays no status for long. A status is
 * appended only if the topic has not grown since it was read, and none is
 * appended after a final one, so two writers cannot contradict each other.
 */
import { type Result } from "neverthrow";
import { dueStage, isEnded } from "../decision/mod.ts";
import {
  type Clock,
  type Logger,
  type RolloutStage,
  type RolloutStatus,
} from "../model/mod.ts";
import { type RolloutRegistry } from "./rollout_registry.ts";
import { type RolloutRecord } from "./rollout_record.ts";
import {
  type StoreFault,
  type StoreRecord,
  type TopicSource,
} from "./store_record.ts";

export interface RolloutStatusWriterOptions {
  readonly registry: RolloutRegistry;
  readonly topic: TopicSource;
  readonly readStatus: (record: StoreRecord) => RolloutStatus | undefined;
  /** Appends a status if the topic still ends at the offset. */
  readonly appendStatus: (
    status: RolloutStatus,
    offset: number,
  ) => Promise<Result<number, StoreFault>>;
  /** This VM's rank among the store readers; undefined if it is not one. */
  readonly rank: () => number | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Each rank waits this much longer than the one before it. */
const RANK_DELAY_MS = 1200;
/** Pause after a failed call to the store. */
const RETRY_DELAY_MS = 400;

/** Writes the due statuses on one VM. */
export class RolloutStatusWriter {
  readonly #options: RolloutStatusWriterOptions;
  readonly #dueSinceMs = new Map<string, number>();
  #pausedUntilMs = 0;
  #isRunning = false;

  constructor(options: RolloutStatusWriterOptions) {
    this.#options = options;
  }

  /** Writes the statuses that are due; does nothing while a call is running. */
  async writeDue(): Promise<void> {
    const { clock } = this.#options;
    if (this.#isRunning || clock() < this.#pausedUntilMs) return;
    this.#isRunning = true;
    try {
      for (const rollout of this.#options.registry.rollouts.values()) {
        await this.#writeIfDue(rollout);
      }
    } finally {
      this.#isRunning = false;
    }
  }

  async #writeIfDue(rollout: RolloutRecord): Promise<void> {
    if (!rollout.isStageKnown) return await this.#loadStage(rollout);
    const { registry, clock } = this.#options;
    const nowMs = clock();
    const stage = dueStage(rollout, {
      nowMs,
      otherInFlightCount: registry.otherInFlightCount(rollout) +
        rollout.peerInFlightCount(nowMs),
    });
    if (stage === undefined) return;
    if (!this.#hasTurn(rollout, stage, nowMs)) return;
    await this.#write(rollout, stage);
  }

  #hasTurn(
    rollout: RolloutRecord,
    stage: RolloutStage,
    nowMs: number,
  ): boolean {
    const key = `${rollout.order.service} ${rollout.order.offset} ${stage}`;
    const sinceMs = this.#dueSinceMs.get(key) ?? nowMs;
    this.#dueSinceMs.set(key, sinceMs);
    const rank = this.#options.rank();
    if (rank === undefined) return false;
    return nowMs - sinceMs >= rank * RANK_DELAY_MS;
  }

  async #loadStage(rollout: RolloutRecord): Promise<void> {
    if (await this.#readStatuses() === undefined) return;
    rollout.isStageKnown = true;
  }

  async #write(rollout: RolloutRecord, stage: RolloutStage): Promise<void> {
    const { registry, logger } = this.#options;
    const offset = await this.#readStatuses();
    if (offset === undefined) return;
    if (rollout.stage === stage || isEnded(rollout.stage)) return;
    // A fault may have been found while the statuses were read.
    if (stage === "completed" && rollout.fault !== undefined) return;
    const { service, target } = rollout.order;
    const orderOffset = rollout.order.offset;
    const status: RolloutStatus = { service, target, stage, orderOffset };
    const written = await this.#options.appendStatus(status, offset);
    if (written.isOk()) return registry.applyStatus(status);
    this.#pause();
    logger.warn("roll-out status not written", {
      service,
      stage,
      reason: written.error.message,
    });
  }

  /**
   * Applies the statuses in the store; resolves with the topic's end offset, or
   * undefined if the store did not answer.
   */
  async #readStatuses(): Promise<number | undefined> {
    const { topic, readStatus, registry } = this.#options;
    const listed = await topic.list();
    if (listed.isErr()) {
      this.#pause();
      return undefined;
    }
    for (const record of listed.value.records) {
      const status = readStatus(record);
      if (status !== undefined) registry.applyStatus(status);
    }
    return listed.value.nextOffset;
  }

  #pause(): void {
    this.#pausedUntilMs = this.#options.clock() + RETRY_DELAY_MS;
  }
}
