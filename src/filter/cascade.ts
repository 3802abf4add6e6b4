/**
 * The end of the chain for model requests: runs the chosen version and, where
 * the settings ask for it, rates the answer before it is relayed and escalates
 * to the next version. A session and a request with an idempotency key keep to
 * one version.
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

/** What is known of an answer when it is judged. */
export interface RatingQuery {
  readonly request: ModelRequest;
  readonly answer: ModelAnswer;
  /** Whether the version is not trusted to meet the target. */
  readonly isRequired: boolean;
  readonly signal: AbortSignal;
}

/**
 * Whether an answer falls so short that a better version is worth its price;
 * `undefined` when it could not be rated.
 */
export type FallsShort = (
  query: RatingQuery,
  targetShare: number,
) => Promise<boolean | undefined>;

/** Told of each whole answer, for rating in the background. */
export type OnAnswer = (
  request: ModelRequest,
  answer: ModelAnswer,
) => void;

/** Whether the deadline leaves time for an escalation. */
export type MayEscalate = (context: RequestContext) => boolean;

/** What the cascade works with. */
export interface CascadeOptions extends DispatchOptions {
  readonly fallsShort: FallsShort;
  readonly onAnswer: OnAnswer;
  readonly mayEscalate: MayEscalate;
  readonly chooseVersions: ChooseVersions;
  readonly tokenKeys: readonly string[];
  readonly running: RunningAnswers;
}

/** Creates the end of the chain. */
export function createCascade(options: CascadeOptions): Next {
  return async (context) => {
    const { request } = context;
    if (request.kind !== "model") {
      throw new TypeError("the cascade takes model requests only");
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

/** Runs the plan; when no server has its versions, the next best plan. */
async function runWithFallback(
  context: RequestContext,
  request: ModelRequest,
  { versions, options }: RunVersionsOptions,
): Promise<Result<ModelAnswer, Refusal>> {
  const run = await runFirstAvailable(context, request, { versions, options });
  const isMissing = run.isErr() && isVersionMissing(run.error);
  if (!isMissing || request.session !== undefined) return run;
  const path = settingsPathOf(request);
  const settings = options.settings(path);
  const allowed = settings.allowed.filter((one) => !versions.includes(one));
  const plan = options.chooseVersions({
    request,
    path,
    settings: { ...settings, allowed },
    leftMs: context.lifetime.leftMs(),
  });
  if (plan.isErr()) return run;
  const others = startableVersions({ ...context, plan: plan.value }, options)
    .filter((one) => allowed.includes(one));
  if (others.length === 0) return run;
  return await runFirstAvailable(context, request, {
    versions: others,
    options,
  });
}

/** Runs the first version that has a server; the others stand in for it. */
async function runFirstAvailable(
  context: RequestContext,
  request: ModelRequest,
  { versions, options }: RunVersionsOptions,
): Promise<Result<ModelAnswer, Refusal>> {
  let refusal = noStartableVersion();
  for (const version of versions) {
    const run = await runVersion(context, request, { version, options });
    if (run.isOk()) return run;
    refusal = run.error;
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
    const held = { ...context, sink: buffer };
    const run = await runVersion(held, request, { version, options });
    if (run.isOk()) best = { answer: run.value, buffer };
    else refusal = run.error;
    if (run.isErr() && !isVersionMissing(refusal)) break;
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
  const isShort = await options.fallsShort(
    { request, answer, isRequired, signal },
    settings.qualityTargetShare,
  );
  return isShort === undefined ? !isRequired : !isShort;
}

function isVersionMissing(refusal: Refusal): boolean {
  return refusal.outcome === "not_run" &&
    refusal.reason === "no_backend_server";
}
