/**
 * The context of one request on its way through the filters, and the answers
 * that they return.
 */
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
import { type RequestLife } from "./request_life.ts";

/** A whole answer of a model; its frames went to the sink. */
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

/** What a caller is answered. */
export type Answer = ModelAnswer | PlainAnswer;

/** What one request has done so far; shared by the filters of that request. */
export class RunRecord {
  /** Lines of the bill, one for each version that was run. */
  readonly lines: BillLine[] = [];
  /** Whether a backend server can have run some of the request. */
  hasRun = false;
  /** Attempts started, over all versions. */
  attemptCount = 0;
}

/** The context of one request. */
export interface RequestContext {
  readonly request: CallerRequest;
  /** The bearer token that the caller showed. */
  readonly bearer: string | undefined;
  /** The session token that the caller showed. */
  readonly sessionToken: string | undefined;
  readonly lifetime: RequestLife;
  readonly run: RunRecord;
  readonly sink: AnswerSink;
  /** The versions to run; set for model requests once chosen. */
  readonly plan: VersionPlan | undefined;
  /** Why this VM takes no request now, if it takes none. */
  readonly entryRefusal: Refusal | undefined;
}

/** The path whose settings bind a request: its session, or its workspace. */
export function settingsPathOf(request: CallerRequest): SettingsPath {
  if (request.session === undefined) return request.workspace;
  return `${request.workspace}/${request.session}` as SettingsPath;
}

/** The class that a request is admitted and routed as. */
export function classOf(request: CallerRequest): RequestClass {
  return request.kind === "model" ? request.requestClass : "lookup";
}

/** Reads the settings in force now. */
export type SettingsReader = (path: SettingsPath) => Settings;
