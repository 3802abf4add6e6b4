/**
 * Writes how far each roll-out is. The first reader of the store does it; the
 * next ones only when it is overdue, so that a VM that is killed, frozen or cut
 * off while it has the duty holds nothing up. A status is appended only if the
 * topic has not grown since it was read, and a roll-out that has ended is never
 * written again, so two writers cannot contradict each other.
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

/** What the duty needs. */
export interface RolloutStatusWriterOptions {
  readonly registry: RolloutRegistry;
  readonly topic: TopicSource;
  readonly readStatus: (record: StoreRecord) => RolloutStatus | undefined;
  readonly appendStatus: (
    status: RolloutStatus,
    offset: number,
  ) => Promise<Result<number, StoreFault>>;
  /** This VM's rank among the readers; absent when it is none. */
  readonly rank: () => number | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** How long each rank leaves a status to the one before it. */
const RANK_DELAY_MS = 1200;
/** After a failed try. */
const RETRY_MS = 400;

/** The duty of one VM. */
export class RolloutStatusWriter {
  readonly #options: RolloutStatusWriterOptions;
  readonly #dueSinceMs = new Map<string, number>();
  #notBeforeMs = 0;
  #isBusy = false;

  constructor(options: RolloutStatusWriterOptions) {
    this.#options = options;
  }

  /** Does what is due; called often. */
  async writeDue(): Promise<void> {
    const { clock } = this.#options;
    if (this.#isBusy || clock() < this.#notBeforeMs) return;
    this.#isBusy = true;
    try {
      for (const rollout of this.#options.registry.rollouts.values()) {
        await this.#performOne(rollout);
      }
    } finally {
      this.#isBusy = false;
    }
  }

  async #performOne(rollout: RolloutRecord): Promise<void> {
    if (!rollout.isStageKnown) return await this.#learnStage(rollout);
    const { registry: book, clock } = this.#options;
    const nowMs = clock();
    const stage = dueStage(rollout, {
      nowMs,
      otherInFlightCount: book.otherInFlightCount(rollout) +
        rollout.peerInFlightCount(nowMs),
    });
    if (stage === undefined) return;
    if (!this.#isMine(rollout, stage, nowMs)) return;
    await this.#write(rollout, stage);
  }

  #isMine(
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

  async #learnStage(rollout: RolloutRecord): Promise<void> {
    if (await this.#readStatuses() === undefined) return;
    rollout.isStageKnown = true;
  }

  async #write(rollout: RolloutRecord, stage: RolloutStage): Promise<void> {
    const { registry: book, logger } = this.#options;
    const offset = await this.#readStatuses();
    if (offset === undefined) return;
    if (rollout.stage === stage || isEnded(rollout.stage)) return;
    const { service, target } = rollout.order;
    const orderOffset = rollout.order.offset;
    const status: RolloutStatus = { service, target, stage, orderOffset };
    const written = await this.#options.appendStatus(status, offset);
    if (written.isOk()) return book.applyStatus(status);
    this.#pause();
    logger.warn("roll-out status not written", {
      service,
      stage,
      reason: written.error.message,
    });
  }

  /** Takes what stands in the store; answers its end. */
  async #readStatuses(): Promise<number | undefined> {
    const { topic, readStatus, registry: book } = this.#options;
    const listed = await topic.list();
    if (listed.isErr()) {
      this.#pause();
      return undefined;
    }
    for (const record of listed.value.records) {
      const status = readStatus(record);
      if (status !== undefined) book.applyStatus(status);
    }
    return listed.value.nextOffset;
  }

  #pause(): void {
    this.#notBeforeMs = this.#options.clock() + RETRY_MS;
  }
}
