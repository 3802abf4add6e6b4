/**
 * What gateways tell each other: how far each has read the store, what the
 * other one lacks of it, and what was seen of roll-outs. Checked on arrival.
 */
import { z } from "zod";
import { type TopicUpdate } from "./topic_replica.ts";

/** The topics that are passed on. */
export const TOPICS = ["operators", "servers"] as const;

/** One of the topics that are passed on. */
export type TopicName = typeof TOPICS[number];

const MAX_RECORDS = 10_000;
const MAX_KEY_LENGTH = 255;
const MAX_ROLLOUTS = 64;
const MAX_TALLIES = 1024;
const MAX_FAILING_IDS = 64;

const nameSchema = z.string().min(1).max(MAX_KEY_LENGTH);
const countSchema = z.number().int().nonnegative();

const recordSchema = z.object({
  key: z.string().max(MAX_KEY_LENGTH),
  value: z.instanceof(Uint8Array).nullable(),
  offset: countSchema,
}).transform(({ key, value, offset }) => ({
  key,
  value: value === null ? undefined : Buffer.from(value),
  offset,
}));

const topicUpdateSchema = z.object({
  records: z.array(recordSchema).max(MAX_RECORDS),
  isWhole: z.boolean(),
  nextOffset: countSchema,
  ageMs: z.number().nonnegative(),
});

const routeTallySchema = z.object({
  count: countSchema,
  errorCount: countSchema,
  logMsSum: z.number(),
});

const vmTallySchema = z.object({
  vm: nameSchema,
  sequence: countSchema,
  otherInFlightCount: countSchema,
  tally: z.object({
    target: z.record(nameSchema, routeTallySchema),
    others: z.record(nameSchema, routeTallySchema),
    failingIds: z.array(nameSchema).max(MAX_FAILING_IDS).readonly(),
  }),
});

const rolloutReportSchema = z.object({
  service: nameSchema,
  orderOffset: countSchema,
  ageMs: z.number().nonnegative(),
  fault: z.string().max(500).nullable(),
  stage: z.enum(["active", "completed", "reverted"]).nullable(),
  isStageKnown: z.boolean(),
  tallies: z.array(vmTallySchema).max(MAX_TALLIES),
});

const peerUpdateSchema = z.object({
  /** The life of the VM that tells; empty from one of an earlier release. */
  teller: z.string().max(MAX_KEY_LENGTH).default(""),
  /** The offset up to which the sender has read each topic. */
  have: z.record(z.enum(TOPICS), countSchema.nullable()),
  topics: z.partialRecord(z.enum(TOPICS), topicUpdateSchema),
  rollouts: z.array(rolloutReportSchema).max(MAX_ROLLOUTS),
});

const busyNoticeSchema = z.object({
  busyBackend: nameSchema,
  forMs: z.number().positive(),
});

/** That a server is busy with a long prompt. */
export type BusyNotice = Readonly<z.infer<typeof busyNoticeSchema>>;

/** Checks whether a peer told that a server is busy. */
export function parseBusyNotice(value: unknown): BusyNotice | undefined {
  const parsed = busyNoticeSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/** What one VM knows of a roll-out. */
export type RolloutReport = Readonly<z.infer<typeof rolloutReportSchema>>;

/** News of one gateway. */
export type PeerUpdate = Readonly<z.infer<typeof peerUpdateSchema>>;

/** Checks what a peer told. */
export function parsePeerUpdate(value: unknown): PeerUpdate | undefined {
  const parsed = peerUpdateSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/** News as they go over the wire. */
export function encodePeerUpdate(news: {
  readonly teller: string;
  readonly have: PeerUpdate["have"];
  readonly topics: Partial<Record<TopicName, TopicUpdate>>;
  readonly rollouts: readonly RolloutReport[];
}): unknown {
  const topics: Record<string, unknown> = {};
  for (const [name, given] of Object.entries(news.topics)) {
    const records = given.records.map(({ key, value, offset }) => ({
      key,
      value: value ?? null,
      offset,
    }));
    topics[name] = { ...given, records };
  }
  return { ...news, topics };
}
