/**
 * Writes the status of each roll-out to the store. The store reader of the
 * first rank writes it; the next ones write only when it is overdue, so that a
 * VM that is killed, frozen or cut off delays no status for long. A status is
 * appended only if the topic has not grown since it was read, and none is
 * appended after a final one, so two writers cannot contradict each other. When
 * the store was restored, a status that it has lost is written again once its
 * order is there.
 */
import { type Result } from "neverthrow";
import { dueStage, isEnded } from "../../decision/mod.ts";
import {
  type Clock,
  type Logger,
  type RolloutStage,
  type RolloutStatus,
  type Sleep,
} from "../../model/mod.ts";
import { type RolloutRegistry } from "./rollout_registry.ts";
import { type RolloutRecord } from "./rollout_record.ts";
import { DecodedValues } from "../store/decoded_values.ts";
import { eraOf } from "../store/store_position.ts";
import {
  LONGEST_ANSWER_MS,
  type StoreFault,
  type StoreRecord,
  type TopicSource,
} from "../store/store_record.ts";
import { TopicReader } from "../store/topic_reader.ts";
import { TopicReplica } from "../store/topic_replica.ts";

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
  readonly sleep?: Sleep;
  readonly logger: Logger;
}

/** Each rank waits this much longer than the one before it. */
const RANK_DELAY_MS = 1200;
/** Pause after a failed call to the store. */
const RETRY_DELAY_MS = 400;
/** The longest status that is read. */
const LONGEST_STATUS_BYTES = 2048;

interface ListedStatuses {
  readonly statuses: readonly RolloutStatus[];
  /** The topic's end, at which a status is appended. */
  readonly offset: number;
}

/** Writes the due statuses on one VM. */
export class RolloutStatusWriter {
  readonly #options: RolloutStatusWriterOptions;
  readonly #values: DecodedValues<RolloutStatus>;
  readonly #replica: TopicReplica;
  readonly #reader: TopicReader;
  readonly #dueSinceMs = new Map<string, number>();
  #pausedUntilMs = 0;
  #isRunning = false;

  constructor(options: RolloutStatusWriterOptions) {
    this.#options = options;
    const { topic, readStatus, registry, clock } = options;
    const values = new DecodedValues({
      read: readStatus,
      longestBytes: LONGEST_STATUS_BYTES,
      shorten: () => undefined,
    });
    this.#values = values;
    this.#replica = new TopicReplica({
      clock,
      isSame: (a, b) => a.equals(b),
      policy: {
        valueOf: (record) => values.valueOf(record),
        isNeeded: (record) =>
          registry.rollouts.has(values.read(record)?.service ?? ""),
        // Other programs' records are none of this VM's business.
        onIgnored: () => {},
      },
      onChange: () => {},
    });
    this.#reader = new TopicReader({
      ...options,
      source: topic,
      replica: this.#replica,
      // A status is read when one is due, and not followed.
      pauseMs: Infinity,
    });
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
    }) ?? (rollout.isStatusLost ? rollout.stage : undefined);
    if (stage === undefined) return;
    if (!this.#hasTurn(rollout, stage, nowMs)) return;
    await this.#write(rollout, stage);
  }

  #hasTurn(
    rollout: RolloutRecord,
    stage: RolloutStage,
    nowMs: number,
  ): boolean {
    const key = `${rollout.order.service} ${rollout.position} ${stage}`;
    const sinceMs = this.#dueSinceMs.get(key) ?? nowMs;
    this.#dueSinceMs.set(key, sinceMs);
    const rank = this.#options.rank();
    if (rank === undefined) return false;
    return nowMs - sinceMs >= rank * RANK_DELAY_MS;
  }

  /** Reads the stages of all roll-outs at once, of which there may be many. */
  async #loadStage(rollout: RolloutRecord): Promise<void> {
    const ordered = [...this.#options.registry.rollouts.values()];
    const listed = await this.#readStatuses();
    if (listed === undefined) return;
    const isInEra = ({ position }: RolloutRecord): boolean =>
      eraOf(listed.offset) === eraOf(position);
    if (!isInEra(rollout)) return this.#pause();
    for (const one of ordered) one.isStageKnown ||= isInEra(one);
  }

  async #write(
    rollout: RolloutRecord,
    dueStage: RolloutStage,
  ): Promise<void> {
    const { registry, logger } = this.#options;
    const listed = await this.#readStatuses();
    if (listed === undefined) return;
    // The order may have been replaced meanwhile, as after a freeze.
    if (registry.rollouts.get(rollout.order.service) !== rollout) return;
    // A status can't name an order that the restored store does not have yet.
    if (eraOf(listed.offset) !== eraOf(rollout.position)) return this.#pause();
    const isKnown = rollout.stage === dueStage || isEnded(rollout.stage);
    if (isKnown && !isLost(rollout, listed.statuses)) {
      rollout.isStatusLost = false;
      return;
    }
    const stage = isKnown ? rollout.stage ?? dueStage : dueStage;
    // A fault may have been found while the statuses were read.
    if (!isKnown && stage === "completed" && rollout.fault !== undefined) {
      return;
    }
    const { order: { service, target }, position } = rollout;
    const status = { service, target, stage, orderOffset: position };
    const written = await this.#options.appendStatus(status, listed.offset);
    if (written.isOk()) {
      if (isKnown) {
        logger.info("roll-out status written again", { service, stage });
      }
      rollout.isStatusLost &&= rollout.position !== position;
      return registry.applyStatus(status);
    }
    this.#pause();
    logger.warn("roll-out status not written", {
      service,
      stage,
      reason: written.error.message,
    });
  }

  /**
   * Applies the statuses in the store; resolves with them and the topic's end
   * offset, or with undefined if the store did not answer.
   */
  async #readStatuses(): Promise<ListedStatuses | undefined> {
    const read = await this.#reader.readToEnd(LONGEST_ANSWER_MS);
    const offset = this.#replica.nextOffset;
    if (read.isErr() || offset === undefined) {
      this.#pause();
      return undefined;
    }
    const statuses: RolloutStatus[] = [];
    for (const record of this.#replica.updateSince(undefined)?.records ?? []) {
      const status = this.#values.read(record);
      if (status === undefined) continue;
      statuses.push(status);
      this.#options.registry.applyStatus(status);
    }
    return { statuses, offset };
  }

  #pause(): void {
    this.#pausedUntilMs = this.#options.clock() + RETRY_DELAY_MS;
  }
}

/** Whether a restored store lacks the status that had been written. */
function isLost(
  { order: { service }, position, stage, isStatusLost }: RolloutRecord,
  statuses: readonly RolloutStatus[],
): boolean {
  if (!isStatusLost) return false;
  const stored = statuses.findLast((status) => status.service === service);
  return stored?.orderOffset !== position || stored.stage !== stage;
}
