/**
 * The messages that gateways exchange: how far each has read the store, the
 * records that the receiver lacks, the state and tallies of roll-outs, the loads
 * request limits and brittleness of backend servers, and the crashes under prompts.
 * Received messages are validated against the schemas here.
 */
import { z } from "zod";
import {
  MAX_SHARED_OBSERVATIONS,
  MAX_SHARED_WORKSPACES,
  type SharedLoad,
  type SharedUse,
} from "../../decision/mod.ts";
import {
  MAX_SHARED_SERVICES,
  USE_SCOPES,
  type UseReport,
} from "../admission/use_reports.ts";
import {
  type CrashNews,
  MAX_REPORTED_PARTS,
  MAX_SERVER_KEY_LENGTH,
  MAX_SHARED_CRASHES,
  MAX_SHARED_SURVIVED,
  type SharedCrash,
} from "../prompts/crash_news.ts";
import {
  MAX_SHARED_EVACUATIONS,
  type SharedEvacuation,
} from "../servers/evacuations.ts";
import { MAX_SHARED_LEAVING } from "../servers/server_statements.ts";
import { type SharedCold } from "../servers/cold_observations.ts";
import { type SharedBrittleness } from "../servers/server_brittleness.ts";
import { type SharedLimit } from "../servers/server_limits.ts";
import { type SharedSlowStart } from "../servers/slow_starts.ts";
import { MAX_ERA, MAX_OFFSET } from "../store/store_position.ts";
import { type TopicUpdate } from "../store/topic_replica.ts";
import { encodeVmTally, vmTallySchema } from "./tally_message.ts";

/** The store's topics that VMs replicate to each other. */
export const TOPICS = ["operators", "servers"] as const;

export type TopicName = typeof TOPICS[number];

const MAX_RECORDS = 10_000;
/** Longest key of a record, and longest name. */
export const MAX_NAME_LENGTH = 255;
/** Bytes of a record's encoding beside its key and value. */
const RECORD_OVERHEAD_BYTES = 48;
/** Bytes of a character in UTF-8. */
const MAX_CHARACTER_BYTES = 3;
/** Roll-outs in one message. */
export const MAX_ROLLOUTS = 64;
const MAX_TALLIES = 1024;
/** More raises or setbacks than a slow start may have. */
const MAX_STAGE_COUNT = 1000;
/** Requests a second, or waiting, that no fleet exceeds. */
const MAX_RATE = 10_000_000;
/** The name of a service and of the regions of its requests. */
const MAX_USE_KEY_LENGTH = 2048;

const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH);
const countSchema = z.number().int().nonnegative();

const recordSchema = z.object({
  key: z.string().max(MAX_NAME_LENGTH),
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
  /** Not told by earlier builds. */
  sinceOffset: countSchema.optional(),
  nextOffset: countSchema,
  /** Not told by earlier builds. */
  copiedBefore: countSchema.optional(),
  ageMs: z.number().nonnegative(),
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

/** Id, requests, age in milliseconds and hops; a tuple to stay small. */
const sharedLoadSchema = z.tuple([
  nameSchema,
  countSchema,
  countSchema,
  countSchema,
]).transform(([id, requestCount, ageMs, hopCount]): SharedLoad => ({
  id,
  requestCount,
  ageMs,
  hopCount,
}));

/**
 * Id and slowness in percent, beside the server's entry in `loads`. The tuples
 * there stay as they are, since VMs of an earlier release refuse longer ones.
 */
const sharedSpeedSchema = z.tuple([nameSchema, z.number().positive()])
  .rest(z.unknown());

/** Id and tokens promised, beside the server's entry in `loads`. */
const sharedPromiseSchema = z.tuple([nameSchema, countSchema])
  .rest(z.unknown());

/** Id, start of its process, limit (null without), age and hops. */
const sharedLimitSchema = z.tuple([
  nameSchema,
  z.number(),
  z.number().nonnegative().nullable(),
  countSchema,
  countSchema,
]).transform((
  [id, processStartedAtMs, limitPerSecond, ageMs, hopCount],
): SharedLimit => ({
  id,
  processStartedAtMs,
  limitPerSecond: limitPerSecond ?? undefined,
  ageMs,
  hopCount,
}));

/** Id, start of its process, remaining time (null: unreached), age, hops. */
const sharedColdSchema = z.tuple([
  nameSchema,
  z.number(),
  countSchema.nullable(),
  countSchema,
  countSchema,
]).transform((
  [id, processStartedAtMs, remainingMs, ageMs, hopCount],
): SharedCold => ({
  id,
  processStartedAtMs,
  remainingMs: remainingMs ?? undefined,
  ageMs,
  hopCount,
}));

/** Service, refusals a second (null if not brittle), age and hops. */
const sharedBrittlenessSchema = z.tuple([
  nameSchema,
  z.number().nonnegative().nullable(),
  countSchema,
  countSchema,
]).transform((
  [service, refusalsPerSecond, ageMs, hopCount],
): SharedBrittleness => ({
  service,
  refusalsPerSecond: refusalsPerSecond ?? undefined,
  ageMs,
  hopCount,
}));

/** Id, start of its process, raises, setbacks, age and hops. */
const sharedSlowStartSchema = z.tuple([
  nameSchema,
  z.number(),
  countSchema.max(MAX_STAGE_COUNT),
  countSchema.max(MAX_STAGE_COUNT),
  countSchema,
  countSchema,
]).transform((
  [id, processStartedAtMs, raiseCount, setbackCount, ageMs, hopCount],
): SharedSlowStart => ({
  id,
  processStartedAtMs,
  raiseCount,
  setbackCount,
  ageMs,
  hopCount,
}));

/** Data centre, whether it is ordered, era, offset, era of its writing. */
const sharedEvacuationSchema = z.tuple([
  nameSchema,
  z.boolean(),
  countSchema.max(MAX_ERA),
  countSchema.max(MAX_OFFSET),
  countSchema.max(MAX_ERA),
]).transform((
  [place, isOrdered, era, offset, writtenEra],
): SharedEvacuation => ({ place, isOrdered, era, offset, writtenEra }));

/** Request, server, parts, age and whether it is withdrawn. */
const sharedCrashSchema = z.tuple([
  nameSchema,
  z.string().min(1).max(MAX_SERVER_KEY_LENGTH),
  z.array(nameSchema).min(1).max(MAX_REPORTED_PARTS),
  countSchema,
  z.boolean(),
]).transform((
  [requestId, serverKey, partIds, ageMs, isWithdrawn],
): SharedCrash => ({ requestId, serverKey, partIds, ageMs, isWithdrawn }));

const rateSchema = z.number().nonnegative().max(MAX_RATE);

/** Workspace, and its requests asked for, started and refused a second. */
const workspaceUseSchema = z.tuple([
  nameSchema,
  rateSchema,
  rateSchema,
  rateSchema,
]).transform((
  [name, askedPerSecond, startedPerSecond, refusedPerSecond],
): SharedUse["workspaces"][number] => ({
  name,
  askedPerSecond,
  startedPerSecond,
  refusedPerSecond,
}));

/** Service with its regions, waiting requests and workspaces. */
const serviceUseSchema = z.tuple([
  z.string().min(1).max(MAX_USE_KEY_LENGTH),
  countSchema.max(MAX_RATE),
  z.array(workspaceUseSchema).max(MAX_SHARED_WORKSPACES),
]).transform(([service, waitingCount, workspaces]): SharedUse => ({
  service,
  waitingCount,
  workspaces,
}));

const useReportSchema = z.object({
  scope: z.enum(USE_SCOPES),
  ageMs: countSchema,
  services: z.array(serviceUseSchema).max(MAX_SHARED_SERVICES),
});

const peerUpdateSchema = z.object({
  /** The sender's process instance; empty from VMs of an earlier release. */
  teller: z.string().max(MAX_NAME_LENGTH).default(""),
  /** The offset up to which the sender has read each topic. */
  have: z.record(z.enum(TOPICS), countSchema.nullable()),
  topics: z.partialRecord(z.enum(TOPICS), topicUpdateSchema),
  rollouts: z.array(rolloutReportSchema).max(MAX_ROLLOUTS),
  /** Absent from VMs of an earlier release. */
  loads: z.array(sharedLoadSchema).max(MAX_SHARED_OBSERVATIONS).default([]),
  speeds: z.array(sharedSpeedSchema).max(MAX_SHARED_OBSERVATIONS).default([]),
  promises: z.array(sharedPromiseSchema).max(MAX_SHARED_OBSERVATIONS)
    .default([]),
  /** Absent from VMs of an earlier release. */
  limits: z.array(sharedLimitSchema).max(MAX_SHARED_OBSERVATIONS).default([]),
  cold: z.array(sharedColdSchema).max(MAX_SHARED_OBSERVATIONS).default([]),
  brittle: z.array(sharedBrittlenessSchema).max(MAX_SHARED_OBSERVATIONS)
    .default([]),
  crashes: z.array(sharedCrashSchema).max(MAX_SHARED_CRASHES).default([]),
  leaving: z.array(z.string().min(1).max(MAX_SERVER_KEY_LENGTH))
    .max(MAX_SHARED_LEAVING).default([]),
  /** Absent from VMs of an earlier release. */
  evacuations: z.array(sharedEvacuationSchema).max(MAX_SHARED_EVACUATIONS)
    .default([]),
  /** Absent from VMs of an earlier release; a malformed list is left out. */
  slowStarts: z.array(sharedSlowStartSchema).max(MAX_SHARED_OBSERVATIONS)
    .catch([]).default([]),
  /** Absent without pressure; of another form from VMs of a later release. */
  admission: useReportSchema.optional().catch(undefined),
  survived: z.array(z.tuple([nameSchema, countSchema]))
    .max(MAX_SHARED_SURVIVED).default([]),
});

const busyNoticeSchema = z.object({
  busyBackend: nameSchema,
  forMs: z.number().positive(),
});

/** Reports that a backend server is busy with a long prompt. */
export type BusyNotice = Readonly<z.infer<typeof busyNoticeSchema>>;

/** Parses a busy notice; undefined when the value is something else. */
export function parseBusyNotice(value: unknown): BusyNotice | undefined {
  const parsed = busyNoticeSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/** One VM's state of a roll-out, with the tallies that it forwards. */
export type RolloutReport = Readonly<z.infer<typeof rolloutReportSchema>>;

/** The message that gateways exchange. */
export type PeerUpdate = Readonly<
  Omit<z.infer<typeof peerUpdateSchema>, "speeds" | "promises">
>;

/** Parses a peer's update; undefined when it is malformed. */
export function parsePeerUpdate(value: unknown): PeerUpdate | undefined {
  const parsed = peerUpdateSchema.safeParse(value);
  if (!parsed.success) return undefined;
  const { speeds, promises, ...update } = parsed.data;
  const speedsById = new Map(speeds.map(([id, speed]) => [id, speed]));
  const tokensById = new Map(promises.map(([id, tokens]) => [id, tokens]));
  const loads = update.loads.map((load): SharedLoad => {
    const slownessPercent = speedsById.get(load.id);
    const promisedTokens = tokensById.get(load.id);
    return {
      ...load,
      ...slownessPercent === undefined ? {} : { slownessPercent },
      ...promisedTokens === undefined ? {} : { promisedTokens },
    };
  });
  return { ...update, loads };
}

/** An upper bound of a topic's part of an encoded update. */
export function encodedBytesOf({ records }: TopicUpdate): number {
  let bytes = 0;
  for (const { key, value } of records) {
    bytes += RECORD_OVERHEAD_BYTES + MAX_CHARACTER_BYTES * key.length +
      (value?.length ?? 0);
  }
  return bytes;
}

/** Encodes an update for the wire, where a dropped key's value is null. */
export function encodePeerUpdate(
  update: CrashNews & {
    readonly teller: string;
    readonly have: PeerUpdate["have"];
    readonly topics: Partial<Record<TopicName, TopicUpdate>>;
    readonly rollouts: readonly RolloutReport[];
    readonly loads: readonly SharedLoad[];
    readonly limits: readonly SharedLimit[];
    readonly cold: readonly SharedCold[];
    readonly brittle: readonly SharedBrittleness[];
    readonly leaving: readonly string[];
    readonly evacuations?: readonly SharedEvacuation[];
    readonly slowStarts?: readonly SharedSlowStart[];
    readonly admission?: UseReport | undefined;
  },
): unknown {
  const topics: Record<string, unknown> = {};
  for (const [name, topic] of Object.entries(update.topics)) {
    const records = topic.records.map(({ key, value, offset }) => ({
      key,
      value: value ?? null,
      offset,
    }));
    topics[name] = { ...topic, records };
  }
  const loads = update.loads.map(({ id, requestCount, ageMs, hopCount }) => [
    id,
    requestCount,
    ageMs,
    hopCount,
  ]);
  const speeds = update.loads.flatMap(({ id, slownessPercent }) =>
    slownessPercent === undefined ? [] : [[id, slownessPercent]]
  );
  const promises = update.loads.flatMap(({ id, promisedTokens }) =>
    promisedTokens === undefined ? [] : [[id, promisedTokens]]
  );
  const limits = update.limits.map((limit) => [
    limit.id,
    limit.processStartedAtMs,
    limit.limitPerSecond ?? null,
    limit.ageMs,
    limit.hopCount,
  ]);
  const cold = update.cold.map((shared) => [
    shared.id,
    shared.processStartedAtMs,
    shared.remainingMs ?? null,
    shared.ageMs,
    shared.hopCount,
  ]);
  const brittle = update.brittle.map((shared) => [
    shared.service,
    shared.refusalsPerSecond ?? null,
    shared.ageMs,
    shared.hopCount,
  ]);
  const evacuations = (update.evacuations ?? []).map((shared) => [
    shared.place,
    shared.isOrdered,
    shared.era,
    shared.offset,
    shared.writtenEra,
  ]);
  const slowStarts = (update.slowStarts ?? []).map((shared) => [
    shared.id,
    shared.processStartedAtMs,
    shared.raiseCount,
    shared.setbackCount,
    shared.ageMs,
    shared.hopCount,
  ]);
  const crashes = update.crashes.map((crash) => [
    crash.requestId,
    crash.serverKey,
    crash.partIds,
    crash.ageMs,
    crash.isWithdrawn,
  ]);
  const rollouts = update.rollouts.map((rollout) => ({
    ...rollout,
    tallies: rollout.tallies.map(encodeVmTally),
  }));
  const { admission, ...others } = update;
  return {
    ...others,
    ...admission === undefined ? {} : { admission: encodeUse(admission) },
    topics,
    rollouts,
    loads,
    speeds,
    promises,
    limits,
    cold,
    brittle,
    evacuations,
    slowStarts,
    crashes,
  };
}

function encodeUse({ scope, ageMs, services }: UseReport): unknown {
  return {
    scope,
    ageMs,
    services: services.map(({ service, waitingCount, workspaces }) => [
      service,
      waitingCount,
      workspaces.map((use) => [
        use.name,
        rounded(use.askedPerSecond),
        rounded(use.startedPerSecond),
        rounded(use.refusedPerSecond),
      ]),
    ]),
  };
}

function rounded(perSecond: number): number {
  return Math.round(perSecond * 100) / 100;
}
