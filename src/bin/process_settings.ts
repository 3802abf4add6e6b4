/**
 * Settings of one process, read from a JSON file: its own addresses and place,
 * the platform's addresses, keys and limits. The check reports all faults at
 * once, each with its path and the expected and actual value. An unknown key is
 * a fault.
 */
import { readFileSync } from "node:fs";
import { err, ok, Result } from "neverthrow";
import { z } from "zod";
import { describeIssue, settingsPathSchema } from "../model/mod.ts";

/** Exit status of a process whose settings have faults. */
export const BAD_SETTINGS_EXIT_STATUS = 78;

const nameSchema = z.string().regex(
  /^[a-z0-9][a-z0-9._-]{0,63}$/,
  "expected a name in lower case",
);
const hostSchema = z.string().min(1).max(253);
const portSchema = z.number().int().min(0).max(65_535);
const urlSchema = z.url({ protocol: /^https?$/ });
const keySchema = z.string().min(16, "expected a key of 16 or more characters");
const durationMsSchema = z.number().int().min(1).max(86_400_000);

const listenSchema = z.strictObject({
  host: hostSchema,
  /** 0 lets the operating system choose. */
  httpPort: portSchema,
  peerPort: portSchema,
});

const platformSchema = z.strictObject({
  logUrl: urlSchema,
  vmListUrl: urlSchema,
  ratingUrl: urlSchema,
  weightStoreUrl: urlSchema,
});

const logSchema = z.strictObject({
  requestShards: z.number().int().min(1).max(1024),
  billShards: z.number().int().min(1).max(1024),
  appendBudgetPerSecond: z.number().min(1).max(100_000),
  queueLimit: z.number().int().min(1).max(1_000_000),
  /** Time that a request waits for an append before it is refused. */
  appendTimeoutMs: durationMsSchema,
  retentionMs: durationMsSchema,
});

const placeDelaySchema = z.strictObject({
  place: nameSchema,
  region: nameSchema,
  /** One-way network delay from this VM. */
  delayMs: z.number().min(0).max(10_000),
});

const accessSchema = z.strictObject({
  /** Empty to accept every caller as an operator. */
  operatorToken: z.string(),
  /** A workspace without an entry accepts callers without a check. */
  workspaceTokens: z.array(
    z.strictObject({ workspace: settingsPathSchema, token: keySchema }),
  ),
  /** Key of session tokens, the same on every VM. */
  sessionTokenKey: keySchema,
  /** Key of the handshake between VMs, the same on every VM. */
  peerKey: keySchema,
});

const limitsSchema = z.strictObject({
  bodyLimitBytes: z.number().int().min(1024).max(64 * 1024 * 1024),
  runningLimit: z.number().int().min(1).max(100_000),
  queueLimit: z.number().int().min(0).max(100_000),
  keptAnswerCount: z.number().int().min(0).max(1_000_000),
  keptAnswerBytes: z.number().int().min(0),
  outboxLimit: z.number().int().min(1).max(1_000_000),
  firstByteTimeoutMs: durationMsSchema,
  betweenTokensTimeoutMs: durationMsSchema,
});

const timingSchema = z.strictObject({
  probePeriodMs: durationMsSchema,
  vmListPeriodMs: durationMsSchema,
  loadPeriodMs: durationMsSchema,
  /** Time for which a caller may cache the addresses of entry VMs. */
  entriesMaxAgeMs: durationMsSchema,
  controllerPeriodMs: durationMsSchema,
});

const metricsSchema = z.strictObject({ host: hostSchema, port: portSchema });

export const processSettingsSchema = z.strictObject({
  deployment: nameSchema,
  vm: nameSchema,
  place: nameSchema,
  listen: listenSchema,
  platform: platformSchema,
  log: logSchema,
  places: z.array(placeDelaySchema).min(1).max(64),
  access: accessSchema,
  limits: limitsSchema,
  timing: timingSchema,
  metrics: metricsSchema.optional(),
});

export type ProcessSettings = Readonly<z.infer<typeof processSettingsSchema>>;

/** Invalid settings file, with all of its faults. */
export class SettingsFileError extends Error {
  override readonly name = "SettingsFileError";

  /** One line per fault: its path, the expected and the actual value. */
  readonly faults: readonly string[];

  constructor(file: string, faults: readonly string[]) {
    super(`${file}: ${faults.length} faults`);
    this.faults = faults;
  }
}

/** Reads and validates a settings file. */
export function readProcessSettings(
  file: string,
): Result<ProcessSettings, SettingsFileError> {
  return readJson(file).andThen((json) => checkProcessSettings(json, file));
}

/** Validates settings that were read from `file`. */
export function checkProcessSettings(
  json: unknown,
  file: string,
): Result<ProcessSettings, SettingsFileError> {
  const parsed = processSettingsSchema.safeParse(json, { reportInput: true });
  if (!parsed.success) {
    return err(
      new SettingsFileError(file, parsed.error.issues.map(describeIssue)),
    );
  }
  const { place, places } = parsed.data;
  if (places.some((item) => item.place === place)) return ok(parsed.data);
  const fault = `places: expected an entry for "${place}", found none`;
  return err(new SettingsFileError(file, [fault]));
}

function readJson(file: string): Result<unknown, SettingsFileError> {
  const parseFile = Result.fromThrowable(
    () => JSON.parse(readFileSync(file, "utf8")) as unknown,
    (error) => new SettingsFileError(file, [messageOf(error)]),
  );
  return parseFile();
}

function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
