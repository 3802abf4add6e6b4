/**
 * What gateways tell each other: how far each has read the store, what the
 * other one lacks of it, and what was seen of roll-outs. Checked on arrival.
 */
import { z } from "zod";
import { type MirrorNews } from "./store_mirror.ts";

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

const mirrorNewsSchema = z.object({
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

const tallySchema = z.object({
  vm: nameSchema,
  sequence: countSchema,
  otherInFlightCount: countSchema,
  tally: z.object({
    target: z.record(nameSchema, routeTallySchema),
    others: z.record(nameSchema, routeTallySchema),
    failingIds: z.array(nameSchema).max(MAX_FAILING_IDS).readonly(),
  }),
});

const rolloutNewsSchema = z.object({
  service: nameSchema,
  orderOffset: countSchema,
  ageMs: z.number().nonnegative(),
  fault: z.string().max(500).nullable(),
  stage: z.enum(["active", "completed", "reverted"]).nullable(),
  isStageKnown: z.boolean(),
  tallies: z.array(tallySchema).max(MAX_TALLIES),
});

const newsSchema = z.object({
  /** The life of the VM that tells; empty from one of an earlier release. */
  teller: z.string().max(MAX_KEY_LENGTH).default(""),
  /** The offset up to which the sender has read each topic. */
  have: z.record(z.enum(TOPICS), countSchema.nullable()),
  topics: z.partialRecord(z.enum(TOPICS), mirrorNewsSchema),
  rollouts: z.array(rolloutNewsSchema).max(MAX_ROLLOUTS),
});

const busySchema = z.object({
  busyBackend: nameSchema,
  forMs: z.number().positive(),
});

/** That a server is busy with a long prompt. */
export type BusyNews = Readonly<z.infer<typeof busySchema>>;

/** Checks whether a peer told that a server is busy. */
export function readBusyNews(value: unknown): BusyNews | undefined {
  const parsed = busySchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/** What one VM knows of a roll-out. */
export type RolloutNews = Readonly<z.infer<typeof rolloutNewsSchema>>;

/** News of one gateway. */
export type PeerNews = Readonly<z.infer<typeof newsSchema>>;

/** Checks what a peer told. */
export function readPeerNews(value: unknown): PeerNews | undefined {
  const parsed = newsSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/** News as they go over the wire. */
export function writePeerNews(news: {
  readonly teller: string;
  readonly have: PeerNews["have"];
  readonly topics: Partial<Record<TopicName, MirrorNews>>;
  readonly rollouts: readonly RolloutNews[];
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
