/**
 * Lets a request pass only with its workspace's token, only for what the
 * settings in force allow, and only while those settings are current enough.
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

/** The token of a workspace; `undefined` where the deployment sets none. */
export type TokenOf = (workspace: SettingsPath) => string | undefined;

/** What authorisation reads. */
export interface AuthorisationOptions {
  readonly journal: Journal;
  readonly settings: SettingsReader;
  readonly tokenOf: TokenOf;
}

const STALE_RETRY_MS = 5000;

/** Creates the filter. */
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
  if (token !== undefined && !isSame(token, context.bearer ?? "")) {
    return notRun("unauthorized", { detail: "the bearer token is not valid" });
  }
  const stale = staleRefusal(context, options);
  if (stale !== undefined) return stale;
  const settings = options.settings(settingsPathOf(request));
  if (request.kind === "service") {
    if (settings.services.includes(request.service)) return undefined;
    return notRun("unauthorized", {
      detail: `service "${request.service}" is not allowed here`,
    });
  }
  if (usableVersions(settings).length > 0) return undefined;
  return notRun("no_allowed_version", {
    detail: "the settings allow no version here",
  });
}

/** The refusal of a workspace that does not accept settings this old. */
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

function isSame(expected: string, given: string): boolean {
  const a = Buffer.from(expected);
  const b = Buffer.from(given);
  return a.length === b.length && timingSafeEqual(a, b);
}
