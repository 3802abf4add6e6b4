/**
 * Settings of a node of the settings tree. Every field is optional: a node
 * overrides the fields that it sets and inherits the others from its parent.
 * The exception is `withdrawn`, which adds to the parent's list, so that no
 * descendant can allow a withdrawn version again. `drainedPlaces` and
 * `drainedServers` cannot be undone below the root either, since only the root
 * may set them.
 */
import { z } from "zod";
import { REQUEST_CLASSES, requestClassSchema } from "./request.ts";
import { versionNameSchema } from "./version.ts";

const MAX_LIST_LENGTH = 256;
const DAY_MS = 86_400_000;
const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,63}$/);
const shareSchema = z.number().min(0).max(1);

/** Whether a withdrawn version finishes or stops its running answers. */
export const runningPolicySchema = z.enum(["finish", "stop"]);

/** A version that gets no new work at or below the node that withdraws it. */
export const withdrawalSchema = z.strictObject({
  version: versionNameSchema,
  running: runningPolicySchema,
});

/** Price, memory and expected quality of a version. */
export const catalogueEntrySchema = z.strictObject({
  version: versionNameSchema,
  inputPriceMicroEurPerMTok: z.number().int().min(0),
  outputPriceMicroEurPerMTok: z.number().int().min(0),
  memoryMb: z.number().int().min(1),
  /** Expected rating in every class while there are no ratings yet. */
  priorQualityShare: shareSchema,
});

/** Replacement of a version by another in steps of growing traffic share. */
export const rolloutPlanSchema = z.strictObject({
  name: nameSchema,
  version: versionNameSchema,
  baseline: versionNameSchema,
  stepShares: z.array(shareSchema).min(1).max(16),
  /** Ratings needed at each step before the next. */
  minRatings: z.number().int().min(1).max(100_000),
  /** Largest acceptable quality loss against the baseline. */
  toleratedLossShare: shareSchema,
  /** Upper bound on the probability of stopping a good version. */
  falseStopShare: z.number().min(0.0001).max(0.5),
  isPaused: z.boolean(),
});

/** A service-level objective of one request class. */
export const objectiveSchema = z.strictObject({
  requestClass: requestClassSchema,
  firstTokenMs: z.number().int().min(1),
  wholeAnswerMs: z.number().int().min(1),
  targetShare: z.number().min(0.5).max(0.99999),
});

/** A data centre and its region. */
export const placeSchema = z.strictObject({
  place: nameSchema,
  region: nameSchema,
});

const deadlinesSchema = z.strictObject(
  Object.fromEntries(
    REQUEST_CLASSES.map((name) => [name, z.number().int().min(10).max(DAY_MS)]),
  ) as Record<(typeof REQUEST_CLASSES)[number], z.ZodNumber>,
);

/** Codec of a full set of settings; rejects unknown fields. */
export const settingsSchema = z.strictObject({
  allowed: z.array(versionNameSchema).max(MAX_LIST_LENGTH),
  withdrawn: z.array(withdrawalSchema).max(MAX_LIST_LENGTH),
  qualityTargetShare: shareSchema,
  cascade: z.enum(["off", "before_relay"]),
  budgetMicroEurPerHour: z.number().int().min(0),
  maxConcurrent: z.number().int().min(0).max(1_000_000),
  maxTokensPerSecond: z.number().int().min(0),
  fairWeight: z.number().min(0.01).max(1000),
  deadlinesMs: deadlinesSchema,
  objectives: z.array(objectiveSchema).max(REQUEST_CLASSES.length),
  staleSettings: z.enum(["serve", "refuse"]),
  staleAfterMs: z.number().int().min(1000).max(DAY_MS),
  services: z.array(nameSchema).max(MAX_LIST_LENGTH),
  modelService: nameSchema,
  places: z.array(placeSchema).max(64),
  catalogue: z.array(catalogueEntrySchema).max(MAX_LIST_LENGTH),
  rollouts: z.array(rolloutPlanSchema).max(32),
  drainedPlaces: z.array(nameSchema).max(64),
  drainedServers: z.array(z.string().min(1).max(64)).max(MAX_LIST_LENGTH),
  egressPriceMicroEurPerMb: z.number().int().min(0),
});

/** Codec of a node's own settings. */
export const nodeSettingsSchema = settingsSchema.partial();

/** Settings that a node sets itself, without inherited ones. */
export type NodeSettings = Readonly<z.infer<typeof nodeSettingsSchema>>;
export type SettingName = keyof NodeSettings;
export type Withdrawal = Readonly<z.infer<typeof withdrawalSchema>>;
export type CatalogueEntry = Readonly<z.infer<typeof catalogueEntrySchema>>;
export type RolloutPlan = Readonly<z.infer<typeof rolloutPlanSchema>>;
export type Objective = Readonly<z.infer<typeof objectiveSchema>>;
export type Place = Readonly<z.infer<typeof placeSchema>>;

/** Settings that only the root may set. */
export const ROOT_ONLY_SETTINGS: readonly SettingName[] = [
  "places",
  "catalogue",
  "rollouts",
  "drainedPlaces",
  "drainedServers",
  "egressPriceMicroEurPerMb",
];

/** Settings that extend the parent's list instead of overriding it. */
export const ADDITIVE_SETTINGS: readonly SettingName[] = ["withdrawn"];

/** A value for every setting. */
export type Settings = Readonly<z.infer<typeof settingsSchema>>;

/** The root's inherited values. */
export const DEFAULT_SETTINGS: Settings = {
  allowed: [],
  withdrawn: [],
  qualityTargetShare: 0.7,
  cascade: "off",
  budgetMicroEurPerHour: Number.MAX_SAFE_INTEGER,
  maxConcurrent: 256,
  maxTokensPerSecond: 1_000_000,
  fairWeight: 1,
  deadlinesMs: {
    lookup: 10_000,
    tagging: 30_000,
    drafting: 120_000,
    review: 600_000,
  },
  objectives: [],
  staleSettings: "serve",
  staleAfterMs: 60_000,
  services: [],
  modelService: "models",
  places: [],
  catalogue: [],
  rollouts: [],
  drainedPlaces: [],
  drainedServers: [],
  egressPriceMicroEurPerMb: 0,
};
