/**
 * The gateway's view of the wire protocol. An adapter decodes messages into
 * these types and encodes outgoing ones; it makes no decisions.
 */
import { type BackendServer } from "../model/mod.ts";

/** A part of a prompt; other requests may have the same part. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** A request as received, without its body. */
export interface RawRequest {
  readonly method: string;
  /** Path and query, unchanged. */
  readonly target: string;
  /** Alternating names and values, unchanged. */
  readonly rawHeaders: readonly string[];
}

/** A decoded request of a caller. */
export interface CallerRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query, forwarded unchanged. */
  readonly target: string;
  /** Host name in lower case, without a port. */
  readonly host: string;
  readonly key: string | undefined;
  /** How long the caller waits, counted from when it sent the request. */
  readonly deadlineMs: number | undefined;
  /** Session that the request belongs to; `undefined` for a single request. */
  readonly session: string | undefined;
  /** The model that the caller requested, if any. */
  readonly model: string | undefined;
  /** Whether the gateway chooses among the route's models. */
  readonly isAnyModelAllowed: boolean;
  readonly promptTokens: number;
  readonly promptParts: readonly PromptPart[];
  /** The last event that the caller received, when it resumes a stream. */
  readonly lastEventId: string | undefined;
  /** Whether another VM, which reaches no server, sent the request on. */
  readonly isRelayed: boolean;
  /** The region of the caller, if another VM stated it. */
  readonly callerRegion: string | undefined;
  /** How often the request may still run, if another VM stated it. */
  readonly maxRunCount: number | undefined;
  /** Alternating names and values, forwarded to the server unchanged. */
  readonly passedHeaders: readonly string[];
}

/** Returns the path of a request's target, without its query. */
export function pathOf({ target }: CallerRequest): string {
  const queryIndex = target.indexOf("?");
  return queryIndex < 0 ? target : target.slice(0, queryIndex);
}

/** Returns the prompt's parts that other requests may have, all but the last. */
export function sharedPartIds({ promptParts }: CallerRequest): string[] {
  return promptParts.slice(0, -1).map(({ id }) => id);
}

/** A request to a backend server, before encoding. */
export interface BackendRequest {
  readonly caller: CallerRequest;
  readonly backend: BackendServer;
  readonly workspace: string | undefined;
  /** Time until the caller's or the route's deadline, whichever is first. */
  readonly deadlineLeftMs: number;
  /** The chosen model; `undefined` keeps the caller's choice. */
  readonly model: string | undefined;
  readonly lastEventId: string | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/** A request that is sent on to another VM, before encoding. */
export interface RelayedRequest {
  readonly caller: CallerRequest;
  /** The region of the caller, if it is known. */
  readonly callerRegion: string | undefined;
  /** How often the other VM may have the request run. */
  readonly maxRunCount: number;
  /** Time until the caller's or the route's deadline, whichever is first. */
  readonly deadlineLeftMs: number;
  /** The model of a stream to resume; `undefined` keeps the caller's choice. */
  readonly model: string | undefined;
  readonly lastEventId: string | undefined;
}

/** Requests at a backend server at the time it sent an answer. */
export interface BackendLoad {
  readonly runningCount: number;
  readonly waitingCount: number;
  /**
   * How long work takes on its machine at this moment, 100 as usual;
   * `undefined` if the server doesn't say.
   */
  readonly slownessPercent: number | undefined;
}

/** The decoded head of a backend server's answer. */
export interface AnswerHead {
  readonly status: number;
  /** The server states that it has not run the request. */
  readonly isNotRun: boolean;
  /** Another VM marks the answer as its own refusal of a request not run. */
  readonly isMarkedRefusal: boolean;
  /** Id of the answered request; `undefined` if the answer has none. */
  readonly requestId: string | undefined;
  /** The answer has the server's signature and was not altered on the way. */
  readonly isGenuine: boolean;
  /** The body has a length or chunks; otherwise only the close ends it. */
  readonly isFramed: boolean;
  /** The body's media type in lower case; `undefined` if none is stated. */
  readonly mediaType: string | undefined;
  /** The model's confidence in its answer, from 0 to 100. */
  readonly confidence: number | undefined;
  readonly load: BackendLoad | undefined;
  /**
   * Requests a second that the server takes from all VMs together; `undefined`
   * without a limit, NaN for one that cannot be read.
   */
  readonly limitPerSecond: number | undefined;
  /**
   * Requests that a brittle server may turn away in a second without falling
   * over; `undefined` if it isn't brittle, NaN for what cannot be read.
   */
  readonly refusalsPerSecond: number | undefined;
  /** The server states that it is leaving. */
  readonly isLeaving: boolean;
  /**
   * For how long a server that did not run the request wants none from this VM;
   * `undefined` without such a wish, NaN for one that cannot be read.
   */
  readonly pauseMs: number | undefined;
  /** How much longer the server is cold; `undefined` if it doesn't say. */
  readonly coldLeftMs: number | undefined;
  /** Alternating names and values, forwarded to the caller unchanged. */
  readonly passedHeaders: readonly string[];
}

/** Decodes and encodes the messages of the wire protocol. */
export interface GatewayProtocol {
  /** Decodes a request; returns a message where it is invalid. */
  readonly readRequest: (raw: RawRequest) => CallerRequest | string;
  /** Returns headers for a backend server, alternating names and values. */
  readonly writeRequest: (request: BackendRequest) => string[];
  /** Returns headers for another VM, with which it admits the request. */
  readonly writeRelayed: (request: RelayedRequest) => string[];
  /**
   * Returns headers that mark a refusal of a request that has not run, for the
   * VM that sent the request on; none where a caller sent it.
   */
  readonly writeRefusal: (request: Pick<RawRequest, "rawHeaders">) => string[];
  readonly readAnswer: (
    status: number,
    rawHeaders: readonly string[],
  ) => AnswerHead;
}
