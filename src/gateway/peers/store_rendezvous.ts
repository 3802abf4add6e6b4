/**
 * Lets VMs find each other in the store, as the seeds of a VM's settings may all be
 * gone. Each VM writes its address there once, and a VM without members lists what
 * others have written. The records are as many at most as there are slots; a VM's
 * name chooses its slot, so that addresses of VMs that are gone give way to those
 * of VMs that have started since.
 */
import { type Result } from "neverthrow";
import {
  type Clock,
  hash32,
  type Logger,
  type Random,
  type Sleep,
} from "../../model/mod.ts";
import { DecodedValues } from "../store/decoded_values.ts";
import {
  LONGEST_ANSWER_MS,
  type StoreFault,
  type StoreRecord,
  type TopicSource,
} from "../store/store_record.ts";
import { TopicReader } from "../store/topic_reader.ts";
import { TopicReplica } from "../store/topic_replica.ts";

/** The topic in which VMs find each other. */
export interface RendezvousTopic {
  readonly source: TopicSource;
  /** Reads the address of a VM for its peers. */
  readonly read: (record: StoreRecord) => string | undefined;
  readonly write: (
    key: string,
    address: string,
  ) => Promise<Result<void, StoreFault>>;
}

export interface StoreRendezvousOptions {
  readonly vm: string;
  readonly topic: RendezvousTopic;
  /** The address at which this VM's peer node listens. */
  readonly peerAddress: () => string;
  /** Whether this VM has no members. */
  readonly isAlone: () => boolean;
  readonly clock: Clock;
  readonly sleep: Sleep;
  readonly random: Random;
  readonly logger: Logger;
}

const SLOT_COUNT = 64;
const CHECK_PERIOD_MS = 750;
/** VMs that start together write one after the other. */
const WRITE_SPREAD_MS = 3000;
const WRITE_RETRY_MS = 5000;
/** A VM whose seeds answer has members before. */
const ALONE_MS = 1400;
/** Pauses between lists; there may be no other VM. */
const LIST_PAUSE_MS = { first: 2000, longest: 30_000 } as const;
const LONGEST_VALUE_BYTES = 256;

/** The meeting place of one VM. */
export class StoreRendezvous {
  readonly #options: StoreRendezvousOptions;
  readonly #values: DecodedValues<string>;
  readonly #replica: TopicReplica;
  readonly #reader: TopicReader;
  #writeAtMs: number;
  #aloneSinceMs: number | undefined;
  #listAtMs = -Infinity;
  #listPauseMs: number = LIST_PAUSE_MS.first;

  constructor(options: StoreRendezvousOptions) {
    this.#options = options;
    const { topic, clock, random } = options;
    this.#writeAtMs = clock() + random() * WRITE_SPREAD_MS;
    this.#values = new DecodedValues({
      read: topic.read,
      longestBytes: LONGEST_VALUE_BYTES,
      shorten: () => undefined,
    });
    this.#replica = new TopicReplica({
      clock,
      isSame: (a, b) => a.equals(b),
      policy: {
        valueOf: (record) => this.#values.valueOf(record),
        // Others may write more keys than there are slots.
        isNeeded: ({ key }) => SLOT_KEYS.has(key),
        onIgnored: () => {},
      },
      onChange: () => {},
    });
    this.#reader = new TopicReader({
      ...options,
      source: topic.source,
      replica: this.#replica,
      pauseMs: Infinity,
    });
  }

  /** The addresses of other VMs that were found; some may be gone. */
  get addresses(): string[] {
    const own = this.#options.peerAddress();
    const records = this.#replica.updateSince(undefined)?.records ?? [];
    return records.filter(({ key }) => SLOT_KEYS.has(key))
      .flatMap((record) => this.#values.read(record) ?? [])
      .filter((address) => address !== own);
  }

  /** Writes this VM's address, and looks for others while there is none. */
  async run(signal: AbortSignal): Promise<void> {
    const { sleep, clock } = this.#options;
    while (!signal.aborted) {
      if (clock() >= this.#writeAtMs) await this.#write();
      if (this.#isListDue()) await this.#list();
      await sleep(CHECK_PERIOD_MS, signal);
    }
  }

  async #write(): Promise<void> {
    const { vm, topic, peerAddress, clock, logger } = this.#options;
    const written = await topic.write(slotKeyOf(vm), peerAddress());
    this.#writeAtMs = written.isOk() ? Infinity : clock() + WRITE_RETRY_MS;
    if (written.isOk()) return;
    logger.info("address not written", { reason: written.error.message });
  }

  #isListDue(): boolean {
    const { isAlone, clock } = this.#options;
    if (!isAlone()) {
      this.#aloneSinceMs = undefined;
      this.#listPauseMs = LIST_PAUSE_MS.first;
      return false;
    }
    const nowMs = clock();
    this.#aloneSinceMs ??= nowMs;
    return nowMs - this.#aloneSinceMs >= ALONE_MS && nowMs >= this.#listAtMs;
  }

  async #list(): Promise<void> {
    const { clock, logger } = this.#options;
    const read = await this.#reader.readToEnd(LONGEST_ANSWER_MS);
    this.#listAtMs = clock() + this.#listPauseMs;
    const { longest } = LIST_PAUSE_MS;
    this.#listPauseMs = Math.min(longest, 2 * this.#listPauseMs);
    if (read.isErr()) {
      return logger.info("no VMs found in the store", {
        reason: read.error.message,
      });
    }
    const { length: count } = this.addresses;
    logger.info("looked for VMs in the store", { count });
  }
}

function slotKeyOf(vm: string): string {
  return `slot-${hash32(`slot ${vm}`) % SLOT_COUNT}`;
}

const SLOT_KEYS: ReadonlySet<string> = new Set(
  Array.from({ length: SLOT_COUNT }, (_, slot) => `slot-${slot}`),
);
