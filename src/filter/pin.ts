/**
 * Gives each session its version. The version comes from the caller's signed
 * token, from the recorded pin, or is chosen and recorded, the first record
 * winning. While the log is down the choice, which is the same on every VM that
 * holds the same revision, is used at once and recorded later.
 */
import { err, ok, type Result } from "neverthrow";
import { type VersionPlan } from "../decision/mod.ts";
import {
  type Logger,
  type ModelRequest,
  notRun,
  type Refusal,
  type Settings,
  type SettingsPath,
  type VersionName,
} from "../model/mod.ts";
import { type Journal } from "../client/mod.ts";
import { type RecordOf } from "../state/mod.ts";
import { outageAwareTimeoutMs } from "./outage_timeout.ts";
import { type Filter } from "./chain.ts";
import { settingsPathOf, type SettingsReader } from "./context.ts";
import { contentId } from "./record_id.ts";
import { type RecordOutbox } from "./record_outbox.ts";
import { verifySession } from "./session_token.ts";

/** What a choice of versions is made from. */
export interface VersionQuery {
  readonly request: ModelRequest;
  readonly path: SettingsPath;
  readonly settings: Settings;
  /** Time left until the deadline. */
  readonly leftMs: number;
}

/**
 * Chooses the version to run first and its escalations. For a session the first
 * one depends on session and revision alone.
 */
export type ChooseVersions = (
  query: VersionQuery,
) => Result<VersionPlan, Refusal>;

/** Whether new work may run on a version under these settings now. */
export type MayStart = (version: VersionName, settings: Settings) => boolean;

/** What pinning works with. */
export interface PinOptions {
  readonly journal: Journal;
  readonly settings: SettingsReader;
  readonly chooseVersions: ChooseVersions;
  readonly mayStart: MayStart;
  readonly tokenKeys: readonly string[];
  readonly outbox: RecordOutbox;
  readonly appendTimeoutMs: number;
  readonly logger: Logger;
}

/** Creates the filter. */
export function createPinFilter(options: PinOptions): Filter {
  return async (context, next) => {
    const { request } = context;
    if (request.kind !== "model") return next(context);
    const path = settingsPathOf(request);
    const query: VersionQuery = {
      request,
      path,
      settings: options.settings(path),
      leftMs: context.lifetime.leftMs(),
    };
    if (request.session === undefined) {
      const plan = options.chooseVersions(query);
      if (plan.isErr()) return err(plan.error);
      return next({ ...context, plan: plan.value });
    }
    const known = verifySession(context.sessionToken, path, options.tokenKeys);
    const pinned = known === undefined
      ? await pinSession(query, options)
      : ok(known);
    if (pinned.isErr()) return err(pinned.error);
    if (!options.mayStart(pinned.value, options.settings(path))) {
      return err(withdrawnRefusal(pinned.value));
    }
    return next({ ...context, plan: onlyVersion(pinned.value) });
  };
}

/** The refusal of a session whose version receives no new work. */
export function withdrawnRefusal(version: VersionName): Refusal {
  return notRun("version_withdrawn", {
    detail: `the session's version ${version} is no longer allowed`,
  });
}

async function pinSession(
  query: VersionQuery,
  options: PinOptions,
): Promise<Result<VersionName, Refusal>> {
  const { path } = query;
  const recorded = options.journal.requests(path).pinOf(path);
  if (recorded !== undefined) return ok(recorded);
  const plan = options.chooseVersions(query);
  if (plan.isErr()) return err(plan.error);
  return ok(await recordPin(path, plan.value.first, options));
}

function onlyVersion(version: VersionName): VersionPlan {
  return {
    first: version,
    escalations: [],
    escalation: "none",
    meetsTarget: true,
  };
}

async function recordPin(
  session: SettingsPath,
  version: VersionName,
  options: PinOptions,
): Promise<VersionName> {
  const record: RecordOf<"pin"> = {
    id: contentId("pin", session, version),
    kind: "pin",
    session,
    version,
  };
  const appended = await options.journal.append(record, session, {
    timeoutMs: outageAwareTimeoutMs(options.journal, options.appendTimeoutMs),
  });
  const winner = options.journal.requests(session).pinOf(session);
  if (appended.isOk()) return winner ?? version;
  const isKept = options.outbox.offer({ record, shardKey: session });
  options.logger.warn("pin is recorded later", { session, version, isKept });
  return winner ?? version;
}
