/** Requests of callers, their classes, and the frames of an answer. */
import { z } from "zod";
import { type SettingsPath } from "./path.ts";
import { type VersionName } from "./version.ts";

/** Classes of request, most urgent first. Quality is rated for each class. */
export const REQUEST_CLASSES = [
  "lookup",
  "tagging",
  "drafting",
  "review",
] as const;

/** How urgent a request is and what kind of answer it wants. */
export type RequestClass = (typeof REQUEST_CLASSES)[number];

/** Accepts a request class. */
export const requestClassSchema = z.enum(REQUEST_CLASSES);

/** Identifiers of requests, sessions and idempotency keys. */
export const identifierSchema = z.string().regex(
  /^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/,
  "expected 1 to 128 letters, digits or ._:-",
);

/** One message of a conversation. */
export interface ChatMessage {
  readonly role: "system" | "user" | "assistant";
  readonly content: string;
}

/** What every request has, whichever kind of backend server it is for. */
export interface RequestHead {
  readonly requestId: string;
  readonly workspace: SettingsPath;
  /** Absent for a request outside any session. */
  readonly session: string | undefined;
  /** Absent for an idempotent request. */
  readonly idempotencyKey: string | undefined;
  /** Time left for the whole request, counted from its arrival. */
  readonly deadlineMs: number;
}

/** A request for a model's answer. */
export interface ModelRequest extends RequestHead {
  readonly kind: "model";
  readonly requestClass: RequestClass;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  readonly isStreaming: boolean;
}

/** A call of a plain service. */
export interface ServiceRequest extends RequestHead {
  readonly kind: "service";
  readonly service: string;
  readonly method: string;
  /** Path and query below the service's own address, with its slash. */
  readonly target: string;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** Any request of a caller. */
export type CallerRequest = ModelRequest | ServiceRequest;

/** Tokens read and produced for one answer or one attempt at it. */
export interface TokenUsage {
  readonly inputTokens: number;
  readonly outputTokens: number;
}

/** One piece of an engine's answer; `index` counts from 0 without gaps. */
export interface AnswerFrame {
  readonly requestId: string;
  readonly attempt: number;
  readonly index: number;
  readonly text: string;
  readonly isLast: boolean;
  /** Present on the last frame. */
  readonly usage: TokenUsage | undefined;
}

/** One attempt of a request at one version, as it appears on its bill. */
export interface BillLine {
  readonly version: VersionName;
  readonly inputTokens: number;
  readonly outputTokens: number;
  readonly priceMicroEur: number;
}
