/**
 * Terminal handler of the filter chain for model requests: runs the chosen
 * version. If the plan has escalations, it rates the buffered answer and runs
 * the next version if the answer is too far below the quality target. Requests
 * with a session or an idempotency key don't escalate.
 */
import { err, ok, type Result } from "neverthrow";
import {
  type AnswerFrame,
  type ModelRequest,
  notRun,
  type Refusal,
  type VersionName,
} from "../model/mod.ts";
import { type Next } from "./chain.ts";
import { BufferSink } from "./answer_sink.ts";
import {
  type ModelAnswer,
  type RequestContext,
  settingsPathOf,
} from "./context.ts";
import { dispatch, type DispatchOptions } from "./dispatch.ts";
import { type ChooseVersions } from "./pin.ts";
import { type RunningAnswers } from "./running_answers.ts";
import { signSession } from "./session_token.ts";

/** An answer to rate, with its request. */
export interface RatingQuery {
  readonly request: ModelRequest;
  readonly answer: ModelAnswer;
  /**
   * Whether the version is not trusted to meet the target, so that an answer
   * that can't be rated is escalated.
   */
  readonly isRequired: boolean;
  readonly signal: AbortSignal;
}

/**
 * Whether an answer falls so far below the quality target that a better version
 * is worth its price; `undefined` if it could not be rated.
 */
export type ShouldEscalate = (
  query: RatingQuery,
  targetShare: number,
) => Promise<boolean | undefined>;

/** Called with each complete answer, to rate it in the background. */
export type OnAnswer = (
  request: ModelRequest,
  answer: ModelAnswer,
) => void;

/** Whether the time until the deadline suffices for an escalation. */
export type MayEscalate = (context: RequestContext) => boolean;

/** Dependencies of the cascade. */
export interface CascadeOptions extends DispatchOptions {
  readonly shouldEscalate: ShouldEscalate;
  readonly onAnswer: OnAnswer;
  readonly mayEscalate: MayEscalate;
  readonly chooseVersions: ChooseVersions;
  readonly tokenKeys: readonly string[];
  readonly running: RunningAnswers;
}

/** Creates the terminal handler for model requests. */
export function createCascade(options: CascadeOptions): Next {
  return async (context) => {
    const { request } = context;
    if (request.kind !== "model") {
      throw new TypeError("expected a model request");
    }
    const versions = startableVersions(context, options);
    const outcome = isEscalating(context, versions)
      ? await escalate(context, request, { versions, options })
      : await runWithFallback(context, request, { versions, options });
    if (outcome.isOk()) options.onAnswer(request, outcome.value);
    return outcome;
  };
}

function startableVersions(
  { request, plan }: RequestContext,
  options: CascadeOptions,
): VersionName[] {
  if (plan === undefined) return [];
  const settings = options.settings(settingsPathOf(request));
  return [plan.first, ...plan.escalations].filter((version) =>
    options.mayStart(version, settings)
  );
}

function isEscalating(
  { request, plan }: RequestContext,
  versions: readonly VersionName[],
): boolean {
  return plan?.escalation !== "none" && versions.length > 1 &&
    request.session === undefined && request.idempotencyKey === undefined;
}

function noStartableVersion(): Refusal {
  return notRun("version_withdrawn", {
    detail: "every chosen version has been withdrawn",
  });
}

interface RunVersionOptions {
  readonly version: VersionName;
  readonly options: CascadeOptions;
}

async function runVersion(
  context: RequestContext,
  request: ModelRequest,
  { version, options }: RunVersionOptions,
): Promise<Result<ModelAnswer, Refusal>> {
  const path = settingsPathOf(request);
  const sessionToken = request.session === undefined
    ? undefined
    : signSession(path, version, options.tokenKeys);
  const { sink } = context;
  let hasBegun = false;
  const relay = async (frame: AnswerFrame): Promise<void> => {
    if (!hasBegun) {
      hasBegun = true;
      sink.begin({ requestId: request.requestId, version, sessionToken });
    }
    await sink.write(frame);
  };
  const stop = options.running.add({
    path,
    version,
    lifetime: context.lifetime,
  });
  try {
    return await dispatch({ context, request, version, relay }, options);
  } finally {
    stop();
  }
}

interface RunVersionsOptions {
  readonly versions: readonly VersionName[];
  readonly options: CascadeOptions;
}

/**
 * Runs the plan's versions. If no server has any of them, chooses a new plan
 * from the other allowed versions, except within a session.
 */
async function runWithFallback(
  context: RequestContext,
  request: ModelRequest,
  { versions, options }: RunVersionsOptions,
): Promise<Result<ModelAnswer, Refusal>> {
  const result = await runFirstAvailable(context, request, {
    versions,
    options,
  });
  const isMissing = result.isErr() && isVersionMissing(result.error);
  if (!isMissing || request.session !== undefined) return result;
  const path = settingsPathOf(request);
  const settings = options.settings(path);
  const allowed = settings.allowed.filter((version) =>
    !versions.includes(version)
  );
  const plan = options.chooseVersions({
    request,
    path,
    settings: { ...settings, allowed },
    leftMs: context.lifetime.leftMs(),
  });
  if (plan.isErr()) return result;
  const others = startableVersions({ ...context, plan: plan.value }, options)
    .filter((version) => allowed.includes(version));
  if (others.length === 0) return result;
  return await runFirstAvailable(context, request, {
    versions: others,
    options,
  });
}

/** Runs the first version for which a server is available. */
async function runFirstAvailable(
  context: RequestContext,
  request: ModelRequest,
  { versions, options }: RunVersionsOptions,
): Promise<Result<ModelAnswer, Refusal>> {
  let refusal = noStartableVersion();
  for (const version of versions) {
    const result = await runVersion(context, request, { version, options });
    if (result.isOk()) return result;
    refusal = result.error;
    if (!isVersionMissing(refusal)) break;
  }
  return err(refusal);
}

async function escalate(
  context: RequestContext,
  request: ModelRequest,
  { versions, options }: RunVersionsOptions,
): Promise<Result<ModelAnswer, Refusal>> {
  let refusal = noStartableVersion();
  let best: BufferedAnswer | undefined;
  for (const [index, version] of versions.entries()) {
    const buffer = new BufferSink();
    const buffered = { ...context, sink: buffer };
    const result = await runVersion(buffered, request, { version, options });
    if (result.isOk()) best = { answer: result.value, buffer };
    else refusal = result.error;
    if (result.isErr() && !isVersionMissing(refusal)) break;
    if (index === versions.length - 1) break;
    if (!options.mayEscalate(context)) break;
    if (best !== undefined && await isGoodEnough(best, context, options)) break;
  }
  if (best === undefined) return err(refusal);
  await best.buffer.flushTo(context.sink);
  return ok(best.answer);
}

interface BufferedAnswer {
  readonly answer: ModelAnswer;
  readonly buffer: BufferSink;
}

async function isGoodEnough(
  { answer }: BufferedAnswer,
  context: RequestContext,
  options: CascadeOptions,
): Promise<boolean> {
  const request = context.request as ModelRequest;
  const settings = options.settings(settingsPathOf(request));
  const { signal } = context.lifetime;
  const isRequired = context.plan?.escalation === "required";
  const isWorthEscalating = await options.shouldEscalate(
    { request, answer, isRequired, signal },
    settings.qualityTargetShare,
  );
  return isWorthEscalating === undefined ? !isRequired : !isWorthEscalating;
}

function isVersionMissing(refusal: Refusal): boolean {
  return refusal.outcome === "not_run" &&
    refusal.reason === "no_backend_server";
}
