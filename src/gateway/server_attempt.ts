/**
 * One try of a request at one backend server: sends it, checks that the answer
 * is the server's own and belongs to this request, gathers answers that are not
 * streams, and tells health and roll-outs what was seen.
 */
import { type HealthEvent } from "../decision/mod.ts";
import { type BackendServer } from "../model/mod.ts";
import { BackendExchange, type ExchangeFault } from "./backend_exchange.ts";
import { type InFlightRequest } from "./backend_fleet.ts";
import { type CompleteAnswer } from "./caller_exchange.ts";
import { type ForwardContext } from "./forward_context.ts";
import { type AnswerHead, type BackendRequest } from "./protocol.ts";

/** A connection takes no longer than this, with its first packet sent twice. */
const CONNECT_TIMEOUT_MS = 400;
/** A prompt that keeps a server busy for longer is told to the VMs nearby. */
const LONG_PREFILL_MS = 300;
/** The longest answer that is gathered before it is passed on. */
const MAX_HELD_BYTES = 8 * 1024 * 1024;

/** How a try ended. */
export type AttemptOutcome =
  | { readonly kind: "answer"; readonly answer: CompleteAnswer }
  | { readonly kind: "stream_end"; readonly head: AnswerHead }
  /** The answer was good, yet not taken. */
  | { readonly kind: "dropped" }
  /** The server states that it has not run the request. */
  | { readonly kind: "not_run" }
  | {
    readonly kind: "fault";
    readonly isUnsent: boolean;
    readonly cause: string;
  };

/** What a try is made of. */
export interface ServerAttemptOptions {
  readonly context: ForwardContext;
  readonly server: BackendServer;
  readonly route: string;
  readonly body: Buffer;
  readonly request: BackendRequest;
  readonly isStreaming: boolean;
  /** Whether a stream that begins is taken. */
  readonly onHead: (head: AnswerHead) => "take" | "drop";
  /** Bytes of a stream that was taken. */
  readonly onData: (chunk: Buffer) => void;
  /** Called once, unless the try is cancelled. */
  readonly onOutcome: (outcome: AttemptOutcome) => void;
}

/** A running try. */
export class ServerAttempt {
  readonly server: BackendServer;
  /** Whether the caller's stream is now this server's. */
  isAttached = false;
  readonly #options: ServerAttemptOptions;
  readonly #use: InFlightRequest;
  readonly #attempt: BackendExchange;
  readonly #startedAtMs: number;
  readonly #chunks: Buffer[] = [];
  #heldBytes = 0;
  #head: AnswerHead | undefined;
  #isOver = false;

  constructor(options: ServerAttemptOptions) {
    this.#options = options;
    const { context, server, request, body } = options;
    this.server = server;
    this.#startedAtMs = context.clock();
    const prefillMs = context.prefill.estimateMs(
      this.#prefillKey,
      request.caller.promptTokens,
    );
    this.#use = context.fleet.trackRequest(server, prefillMs);
    if (prefillMs > LONG_PREFILL_MS) context.reportBusy(server.id, prefillMs);
    context.versions.adjustInFlight(server.service, server.version, 1);
    this.#attempt = new BackendExchange({
      address: server.address,
      method: request.caller.method,
      target: request.caller.target,
      headers: context.protocol.writeRequest(request),
      body,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
    }, {
      onHead: (status, rawHeaders) => this.#readHead(status, rawHeaders),
      onData: (chunk) => this.#readData(chunk),
      onEnd: () => this.#readEnd(),
      onFault: (fault) => this.#readFault(fault),
    });
  }

  /** The head of the answer, once it has come. */
  get head(): AnswerHead | undefined {
    return this.#head;
  }

  /** Whether nothing of the request can have left yet. */
  get isUnsent(): boolean {
    return this.#attempt.isUnsent;
  }

  /** Ends the try; the event says what is held against the server. */
  cancel(event: HealthEvent | undefined): void {
    if (this.#isOver) return;
    if (event === "down") this.#sample({ isError: false });
    this.#end(event);
    this.#attempt.cancel();
  }

  /** Stops reading until `resume`. */
  pause(): void {
    this.#attempt.pause();
  }

  /** Goes on reading. */
  resume(): void {
    this.#attempt.resume();
  }

  get #prefillKey(): string {
    const { request, server } = this.#options;
    return `${server.service} ${request.model ?? request.caller.model ?? ""}`;
  }

  get #isRelayed(): boolean {
    const isSuccess = this.#head !== undefined && this.#head.status < 300;
    return this.#options.isStreaming && isSuccess;
  }

  #readHead(status: number, rawHeaders: readonly string[]): void {
    const { context, request } = this.#options;
    const head = context.protocol.readAnswer(status, rawHeaders);
    this.#head = head;
    this.#use.recordActivity();
    const isForeign = head.requestId !== undefined
      ? head.requestId !== request.caller.id
      : status < 400;
    if (isForeign) return this.#fail("broken", "foreign_answer");
    if (head.load !== undefined) this.#use.recordLoad(head.load);
    if (head.isNotRun) {
      this.#end(status === 421 ? "down" : "full");
      this.#attempt.cancel();
      return this.#options.onOutcome({ kind: "not_run" });
    }
    if (status < 300 && !head.isGenuine) {
      return this.#fail("broken", "unsigned_answer");
    }
    this.#sample({ isError: status >= 500 });
    if (!this.#isRelayed) return;
    if (this.#options.onHead(head) === "take") return;
    this.#end("success");
    this.#attempt.cancel();
    this.#options.onOutcome({ kind: "dropped" });
  }

  #readData(chunk: Buffer): void {
    this.#use.recordActivity();
    if (this.#isRelayed) return this.#options.onData(chunk);
    this.#heldBytes += chunk.length;
    if (this.#heldBytes > MAX_HELD_BYTES) {
      return this.#fail("error", "oversize_answer");
    }
    this.#chunks.push(chunk);
  }

  #readEnd(): void {
    const head = this.#head;
    if (head === undefined) return this.#fail("broken", "no_answer");
    const { context, server } = this.#options;
    this.#end(head.status >= 500 ? "error" : "success");
    if (this.#isRelayed) {
      return this.#options.onOutcome({ kind: "stream_end", head });
    }
    context.fleet.recordServiceTime(
      server.service,
      context.clock() - this.#startedAtMs,
    );
    const { status, passedHeaders, isFramed } = head;
    const body = Buffer.concat(this.#chunks);
    const answer = { status, headers: passedHeaders, body, isFramed };
    this.#options.onOutcome({ kind: "answer", answer });
  }

  #readFault(fault: ExchangeFault): void {
    this.#end(fault.kind === "unreachable" ? "down" : "broken");
    this.#options.onOutcome({
      kind: "fault",
      isUnsent: fault.isUnsent,
      cause: fault.kind,
    });
  }

  #fail(event: HealthEvent, cause: string): void {
    this.#end(event);
    this.#attempt.cancel();
    this.#options.onOutcome({ kind: "fault", isUnsent: false, cause });
  }

  #sample({ isError }: { readonly isError: boolean }): void {
    const { context, server, route } = this.#options;
    const firstByteMs = context.clock() - this.#startedAtMs;
    if (this.#isRelayed) {
      context.fleet.recordServiceTime(server.service, firstByteMs);
      const tokens = this.#options.request.caller.promptTokens;
      context.prefill.record(this.#prefillKey, { tokens, ms: firstByteMs });
    }
    context.versions.record({
      service: server.service,
      version: server.version,
      backendId: server.id,
      route,
      isError,
      firstByteMs,
    });
  }

  #end(event: HealthEvent | undefined): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#use.end(event);
    const { context, server } = this.#options;
    context.versions.adjustInFlight(server.service, server.version, -1);
  }
}
