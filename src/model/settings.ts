/**
 * The settings that a node of the tree may hold. Every field is optional: a
 * node overrides what it names and inherits the rest from its parent. The
 * exceptions are `withdrawn`, `drainedPlaces` and `drainedServers`, which add
 * to the parent's, so that no descendant can bring back what was taken away.
 */
import { z } from "zod";
import { REQUEST_CLASSES, requestClassSchema } from "./request.ts";
import { versionNameSchema } from "./version.ts";

const MAX_LIST = 256;
const DAY_MS = 86_400_000;
const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,63}$/);
const shareSchema = z.number().min(0).max(1);

/** What becomes of running answers of a withdrawn version. */
export const runningPolicySchema = z.enum(["finish", "stop"]);

/** A version that receives no new work below the node that names it. */
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
  /** Expected rating before any was given, for each class or for all. */
  priorQualityShare: shareSchema,
});

/** A roll-out of one version in place of another, by steps of exposure. */
export const rolloutPlanSchema = z.strictObject({
  name: nameSchema,
  version: versionNameSchema,
  baseline: versionNameSchema,
  stepShares: z.array(shareSchema).min(1).max(16),
  /** The least number of ratings at each step before it may advance. */
  minRatings: z.number().int().min(1).max(100_000),
  /** Quality loss against the baseline that counts as bad. */
  toleratedLossShare: shareSchema,
  /** Bound on the probability of stopping a good version. */
  falseStopShare: z.number().min(0.0001).max(0.5),
  isPaused: z.boolean(),
});

/** A service-level objective of one class. */
export const objectiveSchema = z.strictObject({
  requestClass: requestClassSchema,
  firstTokenMs: z.number().int().min(1),
  wholeAnswerMs: z.number().int().min(1),
  targetShare: z.number().min(0.5).max(0.99999),
});

/** A place and the region it stands in. */
export const placeSchema = z.strictObject({
  place: nameSchema,
  region: nameSchema,
});

const deadlinesSchema = z.strictObject(
  Object.fromEntries(
    REQUEST_CLASSES.map((name) => [name, z.number().int().min(10).max(DAY_MS)]),
  ) as Record<(typeof REQUEST_CLASSES)[number], z.ZodNumber>,
);

/** Codec of a full set of settings; an unknown field is a fault. */
export const settingsSchema = z.strictObject({
  allowed: z.array(versionNameSchema).max(MAX_LIST),
  withdrawn: z.array(withdrawalSchema).max(MAX_LIST),
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
  services: z.array(nameSchema).max(MAX_LIST),
  modelService: nameSchema,
  places: z.array(placeSchema).max(64),
  catalogue: z.array(catalogueEntrySchema).max(MAX_LIST),
  rollouts: z.array(rolloutPlanSchema).max(32),
  drainedPlaces: z.array(nameSchema).max(64),
  drainedServers: z.array(z.string().min(1).max(64)).max(MAX_LIST),
  egressPriceMicroEurPerMb: z.number().int().min(0),
});

/** Codec of a node's own settings. */
export const nodeSettingsSchema = settingsSchema.partial();

/** What one node of the tree sets itself. */
export type NodeSettings = Readonly<z.infer<typeof nodeSettingsSchema>>;
/** The name of one setting. */
export type SettingName = keyof NodeSettings;
/** A withdrawn version. */
export type Withdrawal = Readonly<z.infer<typeof withdrawalSchema>>;
/** A version's price, memory and expected quality. */
export type CatalogueEntry = Readonly<z.infer<typeof catalogueEntrySchema>>;
/** A roll-out's plan. */
export type RolloutPlan = Readonly<z.infer<typeof rolloutPlanSchema>>;
/** A service-level objective. */
export type Objective = Readonly<z.infer<typeof objectiveSchema>>;
/** A place and its region. */
export type Place = Readonly<z.infer<typeof placeSchema>>;

/** Settings that only the root may hold. */
export const ROOT_ONLY_SETTINGS: readonly SettingName[] = [
  "places",
  "catalogue",
  "rollouts",
  "drainedPlaces",
  "drainedServers",
  "egressPriceMicroEurPerMb",
];

/** Settings that add to the parent's list in place of overriding it. */
export const ADDITIVE_SETTINGS: readonly SettingName[] = ["withdrawn"];

/** A value for every setting; what the root inherits. */
export type Settings = Readonly<z.infer<typeof settingsSchema>>;

/** The values in force where no node of the tree sets one. */
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
