/**
 * Addresses of the log and the entry VMs for operators' commands: from flags or
 * from a JSON file, which may also be the settings file of an entry VM or
 * controller.
 */
import { Err, Ok, type Result } from "ts-results-es";
import { z } from "zod";
import { describeIssue } from "../model/mod.ts";
import { type CommandFault, faultOf } from "./exit_status.ts";
import { readJsonFile } from "./json_file.ts";

const urlSchema = z.url({ protocol: /^https?$/ });

const operatorSchema = z.strictObject({
  logUrl: urlSchema,
  /** Base URL of the platform's VM list. */
  vmListUrl: urlSchema.optional(),
  /** Addresses of further entry VMs, as host:port. */
  entries: z.array(z.string().min(3)).default([]),
  operatorToken: z.string().default(""),
});

const processSchema = z.object({
  platform: z.object({ logUrl: urlSchema, vmListUrl: urlSchema }),
  access: z.object({ operatorToken: z.string() }),
});

/** Addresses of the log and the entry VMs, and the operator token. */
export type OperatorSettings = Readonly<z.infer<typeof operatorSchema>>;

/** Flags that override the settings file. */
export interface OperatorFlags {
  readonly settings?: string | undefined;
  readonly "log-url"?: string | undefined;
  readonly "vm-list-url"?: string | undefined;
  readonly entry?: string[] | undefined;
  readonly token?: string | undefined;
}

/** Reads the optional settings file; flags override its fields. */
export function readOperatorSettings(
  flags: OperatorFlags,
): Result<OperatorSettings, CommandFault> {
  const base: Result<unknown, CommandFault> = flags.settings === undefined
    ? Ok({})
    : readJsonFile(flags.settings).map(operatorFields);
  return base.andThen((json) => validate(applyFlags(json, flags)));
}

function operatorFields(json: unknown): unknown {
  const processSettings = processSchema.safeParse(json);
  if (!processSettings.success) return json;
  const { platform, access } = processSettings.data;
  return { ...platform, operatorToken: access.operatorToken };
}

function applyFlags(json: unknown, flags: OperatorFlags): unknown {
  if (typeof json !== "object" || json === null) return json;
  const overrides = {
    logUrl: flags["log-url"],
    vmListUrl: flags["vm-list-url"],
    entries: flags.entry,
    operatorToken: flags.token,
  };
  const present = Object.entries(overrides).filter(([, value]) =>
    value !== undefined
  );
  return { ...json, ...Object.fromEntries(present) };
}

function validate(json: unknown): Result<OperatorSettings, CommandFault> {
  const parsed = operatorSchema.safeParse(json, { reportInput: true });
  if (parsed.success) return Ok(parsed.data);
  const lines = parsed.error.issues.map(describeIssue);
  return Err(faultOf("faultySettings", ...lines));
}
