/** The context of a request in the filter chain, and the answers of filters. */
import { type VersionPlan } from "../decision/mod.ts";
import {
  type BillLine,
  type CallerRequest,
  type Refusal,
  type RequestClass,
  type Settings,
  type SettingsPath,
  type TokenUsage,
  type VersionName,
} from "../model/mod.ts";
import { type AnswerSink } from "./answer_sink.ts";
import { type RequestLifetime } from "./request_lifetime.ts";

/** A complete answer of a model; its frames were written to the sink. */
export interface ModelAnswer {
  readonly kind: "model";
  readonly version: VersionName;
  readonly text: string;
  readonly usage: TokenUsage;
}

/** An answer of a plain service, or one recorded for a key. */
export interface PlainAnswer {
  readonly kind: "plain";
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** The answer to a caller. */
export type Answer = ModelAnswer | PlainAnswer;

/** The work done for one request so far; shared by its filters. */
export class RunRecord {
  /** Bill lines, one for each version that ran. */
  readonly lines: BillLine[] = [];
  /** Whether a backend server may have run any part of the request. */
  hasRun = false;
  /** Number of attempts started, over all versions. */
  attemptCount = 0;
}

/** The context of one request. */
export interface RequestContext {
  readonly request: CallerRequest;
  /** The bearer token that the caller sent. */
  readonly bearer: string | undefined;
  /** The session token that the caller sent. */
  readonly sessionToken: string | undefined;
  readonly lifetime: RequestLifetime;
  readonly run: RunRecord;
  readonly sink: AnswerSink;
  /** The versions to run; set for model requests by the pin filter. */
  readonly plan: VersionPlan | undefined;
  /** The refusal for all requests, if this VM accepts none now. */
  readonly entryRefusal: Refusal | undefined;
}

/** Returns the settings path of a request: its session or its workspace. */
export function settingsPathOf(request: CallerRequest): SettingsPath {
  if (request.session === undefined) return request.workspace;
  return `${request.workspace}/${request.session}` as SettingsPath;
}

/** Returns the class for admission and routing; services count as lookups. */
export function classOf(request: CallerRequest): RequestClass {
  return request.kind === "model" ? request.requestClass : "lookup";
}

/** Returns the settings in force at a path. */
export type SettingsReader = (path: SettingsPath) => Settings;
