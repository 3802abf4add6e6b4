/**
 * Where an operator's command finds the log and the entry VMs: from flags, or
 * from a JSON file, which may also be the settings file of any process.
 */
import { Err, Ok, type Result } from "ts-results-es";
import { z } from "zod";
import { describeIssue } from "../model/mod.ts";
import { type CommandFault, faultOf } from "./exit_status.ts";
import { readJsonFile } from "./json_file.ts";

const urlSchema = z.url({ protocol: /^https?$/ });

const operatorSchema = z.strictObject({
  logUrl: urlSchema,
  /** Where to read which entry VMs live. */
  vmListUrl: urlSchema.optional(),
  /** Addresses of entry VMs beside those of the list, as host and port. */
  entries: z.array(z.string().min(3)).default([]),
  operatorToken: z.string().default(""),
});

const processSchema = z.object({
  platform: z.object({ logUrl: urlSchema, vmListUrl: urlSchema }),
  access: z.object({ operatorToken: z.string() }),
});

/** Where a command finds the log and the entry VMs. */
export type OperatorSettings = Readonly<z.infer<typeof operatorSchema>>;

/** The flags that name the same. */
export interface OperatorFlags {
  readonly settings?: string | undefined;
  readonly "log-url"?: string | undefined;
  readonly "vm-list-url"?: string | undefined;
  readonly entry?: string[] | undefined;
  readonly token?: string | undefined;
}

/** Reads the settings file, if one is named, and puts the flags over it. */
export function readOperatorSettings(
  flags: OperatorFlags,
): Result<OperatorSettings, CommandFault> {
  const base: Result<unknown, CommandFault> = flags.settings === undefined
    ? Ok({})
    : readJsonFile(flags.settings).map(operatorPartOf);
  return base.andThen((json) => check(withFlags(json, flags)));
}

function operatorPartOf(json: unknown): unknown {
  const process = processSchema.safeParse(json);
  if (!process.success) return json;
  const { platform, access } = process.data;
  return { ...platform, operatorToken: access.operatorToken };
}

function withFlags(json: unknown, flags: OperatorFlags): unknown {
  if (typeof json !== "object" || json === null) return json;
  const over = {
    logUrl: flags["log-url"],
    vmListUrl: flags["vm-list-url"],
    entries: flags.entry,
    operatorToken: flags.token,
  };
  const named = Object.entries(over).filter(([, value]) => value !== undefined);
  return { ...json, ...Object.fromEntries(named) };
}

function check(json: unknown): Result<OperatorSettings, CommandFault> {
  const parsed = operatorSchema.safeParse(json, { reportInput: true });
  if (parsed.success) return Ok(parsed.data);
  const lines = parsed.error.issues.map(describeIssue);
  return Err(faultOf("faultySettings", ...lines));
}
