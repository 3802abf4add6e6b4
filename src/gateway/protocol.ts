/**
 * What the gateway needs to know of the words on the wire. An adapter decodes
 * them into these types, and encodes what goes out; it decides nothing.
 */
import { type BackendServer } from "../model/mod.ts";

/** One part of a prompt, which other requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** A request as it was received, without its body. */
export interface RawRequest {
  readonly method: string;
  /** Path and query, as they came. */
  readonly target: string;
  /** Names and values in turn, as they came. */
  readonly rawHeaders: readonly string[];
}

/** A caller's request, decoded. */
export interface CallerRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query, passed on as they came. */
  readonly target: string;
  /** Without a port, in lower case. */
  readonly host: string;
  readonly key: string | undefined;
  /** How long the caller waits, from its sending. */
  readonly deadlineMs: number | undefined;
  /** Requests of one session belong together; absent for a single one. */
  readonly session: string | undefined;
  /** The model that the caller named, if it named one. */
  readonly model: string | undefined;
  /** Whether the gateway is to choose among the route's models. */
  readonly isAnyModelAllowed: boolean;
  readonly promptTokens: number;
  readonly promptParts: readonly PromptPart[];
  /** The last event that the caller has, when it goes on with a stream. */
  readonly lastEventId: string | undefined;
  /** Names and values in turn that go to the backend server unchanged. */
  readonly passedHeaders: readonly string[];
}

/** A request on its way to a backend server. */
export interface BackendRequest {
  readonly caller: CallerRequest;
  readonly backend: BackendServer;
  readonly workspace: string | undefined;
  /** Time until the caller's deadline or the route's, whichever is first. */
  readonly deadlineLeftMs: number;
  /** The model chosen; absent where the caller's own goes on. */
  readonly model: string | undefined;
  readonly lastEventId: string | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/** The requests at a backend server when it sent an answer. */
export interface BackendLoad {
  readonly runningCount: number;
  readonly waitingCount: number;
}

/** The head of a backend server's answer, decoded. */
export interface AnswerHead {
  readonly status: number;
  /** The server states that it has not run the request. */
  readonly isNotRun: boolean;
  /** The request that the answer belongs to; absent where it names none. */
  readonly requestId: string | undefined;
  /** The answer carries the server's signature and its body is its own. */
  readonly isGenuine: boolean;
  /** The end of the body is told, and not only by the connection's end. */
  readonly isFramed: boolean;
  /** The model's own opinion of its answer, from 0 to 100. */
  readonly confidence: number | undefined;
  readonly load: BackendLoad | undefined;
  /** Names and values in turn that go to the caller unchanged. */
  readonly passedHeaders: readonly string[];
}

/** Words of the wire, decoded and encoded. */
export interface GatewayProtocol {
  /** Decodes a request; an error says what is wrong with it. */
  readonly readRequest: (raw: RawRequest) => CallerRequest | string;
  /** Headers for a backend server, names and values in turn. */
  readonly writeRequest: (request: BackendRequest) => string[];
  readonly readAnswer: (
    status: number,
    rawHeaders: readonly string[],
  ) => AnswerHead;
}
