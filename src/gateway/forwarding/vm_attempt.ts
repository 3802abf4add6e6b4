/**
 * One attempt to have a request answered through another VM. That VM chooses
 * the server and retries. Only a refusal that it marks as its own promises that
 * the request has not run, and leads to another attempt: an unsigned answer may
 * be a server's.
 */
import { type HealthEvent } from "../../decision/mod.ts";
import { AnswerBuffer } from "../callers/answer_buffer.ts";
import { type Attempt, type AttemptListeners } from "./attempt.ts";
import {
  BackendExchange,
  type ExchangeFault,
} from "../servers/backend_exchange.ts";
import { type ForwardContext } from "./forward_context.ts";
import { type AnswerHead, type RelayedRequest } from "../protocol.ts";
import { isEndUnmarked, judgeEndOf } from "../servers/unmarked_answers.ts";
import { type RelayVm } from "./vm_relays.ts";

const CONNECT_TIMEOUT_MS = 400;

export interface VmAttemptOptions extends AttemptListeners {
  readonly context: ForwardContext;
  readonly vm: RelayVm;
  readonly body: Buffer;
  readonly request: RelayedRequest;
  readonly isStreaming: boolean;
}

/** A running attempt. */
export class VmAttempt implements Attempt {
  readonly targetId: string;
  readonly version = undefined;
  readonly medianPauseMs = undefined;
  isAttached = false;
  readonly #options: VmAttemptOptions;
  readonly #exchange: BackendExchange;
  readonly #buffer: AnswerBuffer;
  #head: AnswerHead | undefined;
  #isOver = false;
  /** Whether the answer is passed on as it comes. */
  #isPassedOn = false;

  constructor(options: VmAttemptOptions) {
    this.#options = options;
    const { context, vm, request, body } = options;
    this.targetId = vm.vm;
    this.#buffer = new AnswerBuffer(options.memory, {
      onPause: () => this.#exchange.pause(),
      onResume: () => this.#exchange.resume(),
    });
    this.#exchange = new BackendExchange({
      address: vm.address,
      method: request.caller.method,
      target: request.caller.target,
      headers: context.protocol.writeRelayed(request),
      body,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
    }, {
      onConnected: () => {},
      onHead: (status, rawHeaders, { statedBytes }) => {
        this.#handleHead(status, rawHeaders);
        if (!this.#isOver && !this.#isRelayed) this.#beginAnswer(statedBytes);
      },
      onData: (chunk) => this.#handleData(chunk),
      onEnd: () => this.#handleEnd(),
      onFault: (fault) => this.#handleFault(fault),
      onException: options.onException,
    });
  }

  get head(): AnswerHead | undefined {
    return this.#head;
  }

  get isUnsent(): boolean {
    return this.#exchange.isUnsent;
  }

  get isWaiting(): boolean {
    return this.#buffer.isWaiting;
  }

  cancel(event: HealthEvent | undefined): void {
    if (this.#isOver) return;
    if (event !== undefined) this.#recordFailure();
    this.#end();
  }

  pause(): void {
    this.#exchange.pause();
  }

  resume(): void {
    this.#exchange.resume();
  }

  get #isRelayed(): boolean {
    const isSuccess = this.#head !== undefined && this.#head.status < 300;
    return this.#options.isStreaming && isSuccess;
  }

  #handleHead(status: number, rawHeaders: readonly string[]): void {
    const { context, request } = this.#options;
    const head = context.protocol.readAnswer(status, rawHeaders);
    this.#head = head;
    if (!head.isGenuine && head.isMarkedRefusal) return this.#handleRefusal();
    const isOfRequest = head.requestId === request.caller.id;
    // Servers sign successes only; other answers without the request's id may
    // come from a VM of an earlier build, which does not mark its refusals.
    const isClientError = status >= 400 && status < 500;
    if (!head.isGenuine && !(isOfRequest && isClientError)) {
      this.#recordFailure();
      return this.#fail("vm_failed");
    }
    if (!isOfRequest) return this.#fail("foreign_answer");
    if (this.#isRelayed) this.#options.onHead(head);
  }

  /** A refusal of the VM itself; one of a bad request comes from its manifest. */
  #handleRefusal(): void {
    this.#recordFailure();
    this.#end();
    // Servers may have refused it there, so a further attempt is a retry.
    this.#options.onOutcome({ kind: "not_run", cause: "vm_refused" });
  }

  #beginAnswer(statedBytes: number | undefined): void {
    if (!this.#buffer.begin(statedBytes)) return this.#fail("oversize_answer");
    const head = this.#head;
    if (!this.#buffer.isWaiting || head === undefined) return;
    if (!this.#options.onWait({ head, statedBytes })) return;
    this.#isPassedOn = true;
    this.#buffer.release();
    this.#exchange.resume();
  }

  #handleData(chunk: Buffer): void {
    if (this.#isRelayed || this.#isPassedOn) {
      return this.#options.onData(chunk);
    }
    if (!this.#buffer.push(chunk)) this.#fail("oversize_answer");
  }

  #handleEnd(): void {
    const head = this.#head;
    if (head === undefined) return this.#fail("no_answer");
    const { context, vm, request, onException } = this.#options;
    if (!isEndUnmarked(head, request.caller)) return this.#complete(head);
    judgeEndOf(context, vm).then((verdict) => {
      if (this.#isOver) return;
      if (verdict === "meant") return this.#complete(head);
      if (verdict === "unproved") return this.#fail("late_end");
      this.#recordFailure();
      this.#fail("vm_ended");
    }).catch(onException);
  }

  #complete(head: AnswerHead): void {
    const isRelayed = this.#isRelayed || this.#isPassedOn;
    this.#isOver = true;
    if (isRelayed) return this.#options.onOutcome({ kind: "stream_end", head });
    const { status, passedHeaders, isFramed: isEndMarked } = head;
    const body = this.#buffer.concat();
    const answer = { status, headers: passedHeaders, body, isEndMarked };
    this.#options.onOutcome({ kind: "answer", answer });
  }

  #handleFault({ isUnsent, kind }: ExchangeFault): void {
    this.#recordFailure();
    this.#end();
    this.#options.onOutcome({ kind: "fault", isUnsent, cause: kind });
  }

  #recordFailure(): void {
    this.#options.context.relays.recordFailure(this.targetId);
  }

  #fail(cause: string): void {
    this.#end();
    this.#options.onOutcome({ kind: "fault", isUnsent: false, cause });
  }

  #end(): void {
    this.#isOver = true;
    this.#buffer.release();
    this.#exchange.cancel();
  }
}
