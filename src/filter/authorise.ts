/**
 * Authorisation. A request passes if it carries its workspace's token, if the
 * settings in force allow its service or some version, and if those settings
 * are fresh enough for the workspace.
 */
import { timingSafeEqual } from "node:crypto";
import { err } from "neverthrow";
import {
  notRun,
  type Refusal,
  type SettingsPath,
  usableVersions,
} from "../model/mod.ts";
import { type Journal } from "../client/mod.ts";
import { type Filter } from "./chain.ts";
import {
  type RequestContext,
  settingsPathOf,
  type SettingsReader,
} from "./context.ts";

/** Returns the token of a workspace, or `undefined` if none is configured. */
export type TokenOf = (workspace: SettingsPath) => string | undefined;

export interface AuthorisationOptions {
  readonly journal: Journal;
  readonly settings: SettingsReader;
  readonly tokenOf: TokenOf;
}

const STALE_RETRY_MS = 5000;

/** Creates the filter that refuses unauthorised requests. */
export function createAuthorisationFilter(
  options: AuthorisationOptions,
): Filter {
  return (context, next) => {
    const refusal = refusalOf(context, options);
    if (refusal !== undefined) return Promise.resolve(err(refusal));
    return next(context);
  };
}

function refusalOf(
  context: RequestContext,
  options: AuthorisationOptions,
): Refusal | undefined {
  const { request } = context;
  if (context.entryRefusal !== undefined) return context.entryRefusal;
  const token = options.tokenOf(request.workspace);
  if (
    token !== undefined && !isEqualInConstantTime(token, context.bearer ?? "")
  ) {
    return notRun("unauthorized", { detail: "the bearer token is not valid" });
  }
  const stale = staleRefusal(context, options);
  if (stale !== undefined) return stale;
  const settings = options.settings(settingsPathOf(request));
  if (request.kind === "service") {
    if (settings.services.includes(request.service)) return undefined;
    return notRun("unauthorized", {
      detail: `service "${request.service}" is not allowed for the workspace`,
    });
  }
  if (usableVersions(settings).length > 0) return undefined;
  return notRun("no_allowed_version", {
    detail: "the settings allow no version for the workspace",
  });
}

/**
 * Returns a refusal if the settings are older than the workspace accepts. Only
 * a workspace that sets `staleSettings` to "refuse" has such a limit.
 */
export function staleRefusal(
  context: RequestContext,
  options: Pick<AuthorisationOptions, "journal" | "settings">,
): Refusal | undefined {
  const settings = options.settings(settingsPathOf(context.request));
  if (settings.staleSettings !== "refuse") return undefined;
  const { ageMs } = options.journal.freshness();
  if (ageMs <= settings.staleAfterMs) return undefined;
  return notRun("settings_stale", {
    detail: `the settings are ${Math.round(ageMs)} ms old`,
    retryAfterMs: STALE_RETRY_MS,
  });
}

function isEqualInConstantTime(expected: string, actual: string): boolean {
  const a = Buffer.from(expected);
  const b = Buffer.from(actual);
  return a.length === b.length && timingSafeEqual(a, b);
}
