/**
 * The environment of one deployment: places and their delays, backend servers,
 * quality of versions and the callers' request mix. Read from the
 * `*_site.json` files in `examples/`.
 */
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { z } from "zod";
import {
  requestClassSchema,
  settingsPathSchema,
  SettingsTree,
} from "../src/model/mod.ts";

const EXAMPLES_FOLDER = "examples";

const shareSchema = z.number().min(0).max(1);

const mixSchema = z.strictObject({
  requestClass: requestClassSchema,
  kind: z.enum(["model", "service", "registration"]),
  service: z.string(),
  share: shareSchema,
  maxTokens: z.number().int().min(1),
  inputLetters: z.number().int().min(0),
  /** Share of these requests that belong to a session. */
  inSessionShare: shareSchema,
});

const sitePlanSchema = z.strictObject({
  deployment: z.string(),
  regionDelayMs: z.number(),
  placeDelayMs: z.number(),
  clientDelayMs: z.number(),
  places: z.array(z.strictObject({
    place: z.string(),
    region: z.string(),
    entryCount: z.number().int().min(1),
  })),
  modelService: z.string(),
  engines: z.array(z.strictObject({
    place: z.string(),
    count: z.number().int().min(1),
    versions: z.array(z.string()),
    slotCount: z.number().int().min(1),
    tokenMs: z.number(),
  })),
  services: z.array(z.strictObject({
    service: z.string(),
    place: z.string(),
    count: z.number().int().min(1),
  })),
  qualityShares: z.record(z.string(), shareSchema),
  workspaces: z.array(
    z.strictObject({ path: settingsPathSchema, share: shareSchema }),
  ),
  mix: z.array(mixSchema),
  requestsPerSecond: z.number().min(0.1),
});

/** One kind of request in the callers' request mix. */
export type MixEntry = Readonly<z.infer<typeof mixSchema>>;

/** The environment of one deployment. */
export type SitePlan = Readonly<z.infer<typeof sitePlanSchema>>;

/** The deployments with example files. */
export const DEPLOYMENTS = ["kavango", "tullagh"] as const;

export type Deployment = (typeof DEPLOYMENTS)[number];

/** Reads a deployment's environment. */
export function readSitePlan(deployment: Deployment): SitePlan {
  return sitePlanSchema.parse(readExample(`${deployment}_site.json`));
}

/** Reads a deployment's settings tree. */
export function readTree(deployment: Deployment): SettingsTree {
  return SettingsTree.fromJson(readExample(`${deployment}.json`)).match(
    (tree) => tree,
    (error) => {
      throw error;
    },
  );
}

/** Returns the plan with `count` entry VMs spread evenly over its places. */
export function withEntryCount(plan: SitePlan, count: number): SitePlan {
  const places = plan.places.map((place, index) => {
    const extra = count % plan.places.length > index ? 1 : 0;
    const entryCount = Math.floor(count / plan.places.length) + extra;
    return { ...place, entryCount };
  });
  return { ...plan, places: places.filter((place) => place.entryCount > 0) };
}

function readExample(name: string): unknown {
  return JSON.parse(readFileSync(join(EXAMPLES_FOLDER, name), "utf8"));
}
