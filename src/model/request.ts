/** Callers' requests, their classes, and the frames of an answer. */
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

/** The kind of work of a request, which sets its urgency. */
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

/** Fields common to all kinds of request. */
export interface RequestHead {
  readonly requestId: string;
  readonly workspace: SettingsPath;
  /** Absent for a request outside any session. */
  readonly session: string | undefined;
  /** Absent for an idempotent request. */
  readonly idempotencyKey: string | undefined;
  /** Time allowed for the request, counted from its arrival. */
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
  /** Path and query, starting with a slash. */
  readonly target: string;
  readonly contentType: string;
  readonly body: Uint8Array;
}

export type CallerRequest = ModelRequest | ServiceRequest;

/** Tokens read and produced by one answer or one attempt. */
export interface TokenUsage {
  readonly inputTokens: number;
  readonly outputTokens: number;
}

/** A piece of an engine's answer; `index` counts from 0 without gaps. */
export interface AnswerFrame {
  readonly requestId: string;
  readonly attempt: number;
  readonly index: number;
  readonly text: string;
  readonly isLast: boolean;
  /** Present on the last frame. */
  readonly usage: TokenUsage | undefined;
}

/** An attempt of a request at one version, as billed. */
export interface BillLine {
  readonly version: VersionName;
  readonly inputTokens: number;
  readonly outputTokens: number;
  readonly priceMicroEur: number;
}
