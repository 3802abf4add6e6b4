/**
 * Pins each session to one version. The version is taken from the caller's
 * signed token or from the recorded pin; otherwise it is chosen and recorded,
 * and the first record wins. While the log is down, the chosen version is used
 * at once and recorded later: every VM with the same revision of the settings
 * chooses the same version.
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

/** The input of a choice of versions. */
export interface VersionQuery {
  readonly request: ModelRequest;
  readonly path: SettingsPath;
  readonly settings: Settings;
  /** Time until the deadline. */
  readonly leftMs: number;
}

/**
 * Chooses the version to run first and its escalations. For a session, the
 * first version depends only on the session and the revision of the settings.
 */
export type ChooseVersions = (
  query: VersionQuery,
) => Result<VersionPlan, Refusal>;

/** Whether new requests may run on a version under these settings. */
export type MayStart = (version: VersionName, settings: Settings) => boolean;

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

/** Creates the filter that sets the version plan of model requests. */
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
    const tokenVersion = verifySession(
      context.sessionToken,
      path,
      options.tokenKeys,
    );
    const pinned = tokenVersion === undefined
      ? await pinSession(query, options)
      : ok(tokenVersion);
    if (pinned.isErr()) return err(pinned.error);
    if (!options.mayStart(pinned.value, options.settings(path))) {
      return err(withdrawnRefusal(pinned.value));
    }
    return next({ ...context, plan: singleVersionPlan(pinned.value) });
  };
}

/** Returns the refusal for a session whose version accepts no new requests. */
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
  const recordedPin = options.journal.requests(path).pinOf(path);
  if (recordedPin !== undefined) return ok(recordedPin);
  const plan = options.chooseVersions(query);
  if (plan.isErr()) return err(plan.error);
  return ok(await recordPin(path, plan.value.first, options));
}

function singleVersionPlan(version: VersionName): VersionPlan {
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
  options.logger.warn("pin not confirmed in the log", {
    session,
    version,
    isKept,
  });
  return winner ?? version;
}
