/**
 * One request to one backend server, over a new connection. Connections are
 * not reused: an idle one may be dead or still carry bytes of an earlier
 * request, and a new connection costs less than that risk. Uses Node's own HTTP
 * client, since undici treats a reset as the end of an answer without a length.
 */
import {
  Agent,
  type ClientRequest,
  type IncomingMessage,
  request,
} from "node:http";
import { splitAddress } from "../../model/mod.ts";
import { ReadTimeout } from "../read_timeout.ts";

/** The request to send and its destination. */
export interface BackendCall {
  /** Host and port. */
  readonly address: string;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly connectTimeoutMs: number;
}

/** The reason why an exchange ended without a complete answer. */
export interface ExchangeFault {
  /** `unsendable`: HTTP cannot carry the request, or not to this address. */
  readonly kind: "unreachable" | "reset" | "malformed" | "unsendable";
  /** Whether no byte of the request can have reached the server. */
  readonly isUnsent: boolean;
  readonly message: string;
}

/** Callbacks of an exchange; `onEnd` or `onFault` is the last call. */
export interface ExchangeEvents {
  /** Called when the connection is established. */
  readonly onConnected: () => void;
  readonly onHead: (
    status: number,
    rawHeaders: readonly string[],
    body: {
      /** The length that the head states, if a body follows. */
      readonly statedBytes: number | undefined;
    },
  ) => void;
  readonly onData: (chunk: Buffer) => void;
  /** Called when the answer is complete. */
  readonly onEnd: () => void;
  readonly onFault: (fault: ExchangeFault) => void;
  /** Called after an exception in another callback, which ends the exchange. */
  readonly onException: (error: Error) => void;
}

/** Statuses of an answer; Node can't send one below 100 on. */
const STATUSES = { first: 200, last: 599 } as const;
/** Statuses of answers that end with their head, whatever length it states. */
const BODILESS_STATUSES: readonly number[] = [204, 304];
/** Methods of which a server may expect a body. */
const BODY_METHODS: readonly string[] = ["POST", "PUT", "PATCH"];
/**
 * Bytes that an answer may take beyond its body: its head, trailers, interim
 * answers and blank lines. Node's parser bounds only some of them.
 */
const MAX_FRAMING_BYTES = 64 * 1024;
/** Bytes that frame one part of a body; a chunk without extensions takes 20. */
const MAX_PART_FRAMING_BYTES = 32;
/** A server has read a shorter body with the head, or soon after it. */
const UPLOAD_BYTES = 16 * 1024;
/** How long after a server's end its reset may come. */
const LATE_RESET_MS = 100;
// A socket that isn't half-open would close at the server's end.
const connectionAgent = new Agent(
  Object.assign({ keepAlive: false, maxSockets: Infinity }, {
    allowHalfOpen: true,
  }),
);

/** A running exchange. */
export class BackendExchange {
  readonly #request: ClientRequest | undefined;
  readonly #events: ExchangeEvents;
  readonly #bodyLength: number;
  #response: IncomingMessage | undefined;
  #bodyBytes = 0;
  #partCount = 0;
  #isConnected = false;
  #isReset = false;
  #isOver = false;
  #connectTimeout: ReadTimeout | undefined;

  constructor(call: BackendCall, events: ExchangeEvents) {
    this.#events = events;
    this.#bodyLength = call.body.length;
    try {
      this.#request = requestOf(call);
    } catch (error) {
      // The caller of the constructor can't handle a fault before it returns.
      setImmediate(() => this.#fail("unsendable", String(error)));
      return;
    }
    this.#connectTimeout = new ReadTimeout(
      call.connectTimeoutMs,
      () => this.#fail("unreachable", "connection timed out"),
    );
    this.#addListeners(this.#request);
    this.#request.end(call.body);
  }

  /** Whether no byte of the request can have been sent yet. */
  get isUnsent(): boolean {
    return !this.#isConnected;
  }

  /** Ends the exchange and its connection; no callback follows. */
  cancel(): void {
    this.#end();
    this.#request?.destroy();
  }

  /** Stops reading the answer until `resume` is called. */
  pause(): void {
    this.#response?.pause();
  }

  /** Resumes reading the answer. */
  resume(): void {
    this.#response?.resume();
  }

  #addListeners(request: ClientRequest): void {
    request.on("socket", (socket) => {
      socket.setNoDelay(true);
      // Node's own listeners complete an unframed answer and close the socket.
      const listeners = socket.listeners("end");
      socket.removeAllListeners("end");
      socket.once("end", () => {
        const complete = (): void => {
          if (this.#isOver) return;
          this.#isReset = socket.remoteAddress === undefined;
          for (const listener of listeners) listener.call(socket);
        };
        if (this.#mayBeResetLate) setTimeout(complete, LATE_RESET_MS);
        else complete();
      });
      socket.once("connect", () => {
        this.#isConnected = true;
        this.#connectTimeout?.stop();
        if (!this.#isOver) this.#tell(() => this.#events.onConnected());
      });
      // After Node's own listener, which parses the bytes.
      socket.on("data", () => this.#checkFraming(socket.bytesRead));
    });
    request.on("error", (error: NodeJS.ErrnoException) => {
      if (this.#isAnswerComplete) return;
      const isParserFault = error.code?.startsWith("HPE_") === true;
      this.#fail(this.#faultKind(isParserFault), error.message);
    });
    request.on(
      "upgrade",
      () => this.#fail("malformed", "unexpected protocol upgrade"),
    );
    request.on("response", (response) => this.#readResponse(response));
    request.on("close", () => {
      if (this.#isAnswerComplete) return;
      this.#fail(this.#faultKind(false), "closed");
    });
  }

  /**
   * Whether the whole answer has been received. It ends when it has been read;
   * a reset or further bytes of the connection don't belong to it.
   */
  get #isAnswerComplete(): boolean {
    return this.#response?.complete === true;
  }

  /**
   * Whether a reset may follow the end of an unframed answer: a server that
   * closes without having read the whole request resets the connection.
   */
  get #mayBeResetLate(): boolean {
    const response = this.#response;
    return response !== undefined && !response.complete &&
      isUnframed(response) && this.#bodyLength > UPLOAD_BYTES;
  }

  #readResponse(response: IncomingMessage): void {
    if (this.#isOver) return;
    this.#response = response;
    const { statusCode = 0 } = response;
    if (statusCode < STATUSES.first || statusCode > STATUSES.last) {
      return this.#fail("malformed", `status ${statusCode}`);
    }
    const length = response.headers["content-length"];
    const hasBody = this.#request?.method !== "HEAD" &&
      !BODILESS_STATUSES.includes(statusCode);
    const statedBytes = length === undefined || !hasBody
      ? undefined
      : Number(length);
    this.#tell(() =>
      this.#events.onHead(statusCode, response.rawHeaders, { statedBytes })
    );
    if (this.#isOver) return;
    response.on("data", (chunk: Buffer) => {
      this.#bodyBytes += chunk.length;
      this.#partCount += 1;
      if (!this.#isOver) this.#tell(() => this.#events.onData(chunk));
    });
    response.on("aborted", () => this.#fail("reset", "answer truncated"));
    response.on("error", (error) => this.#fail("reset", error.message));
    response.on("end", () => {
      if (this.#isOver) return;
      const isEnd = response.complete &&
        !(this.#isReset && isUnframed(response));
      if (!isEnd) return this.#fail("reset", "answer truncated");
      this.#end();
      this.#request?.destroy();
      this.#tell(() => this.#events.onEnd());
    });
  }

  /** Ends an answer of which too much is neither its head nor its body. */
  #checkFraming(readBytes: number): void {
    // Parts of the body that wait, of a byte or more each.
    const waitingBytes = this.#response?.readableLength ?? 0;
    const partCount = this.#partCount + waitingBytes;
    const framingBytes = readBytes - this.#bodyBytes - waitingBytes;
    if (
      framingBytes > MAX_FRAMING_BYTES + partCount * MAX_PART_FRAMING_BYTES
    ) {
      this.#fail("malformed", `${framingBytes} bytes beside the body`);
    }
  }

  #faultKind(isParserFault: boolean): ExchangeFault["kind"] {
    if (isParserFault) return "malformed";
    return this.#isConnected ? "reset" : "unreachable";
  }

  #fail(kind: ExchangeFault["kind"], message: string): void {
    if (this.#isOver) return;
    this.#end();
    this.#request?.destroy();
    const fault = { kind, isUnsent: !this.#isConnected, message };
    this.#tell(() => this.#events.onFault(fault));
  }

  /** An exception in a callback ends this exchange and no other. */
  #tell(callback: () => void): void {
    try {
      callback();
    } catch (error) {
      this.cancel();
      this.#events.onException(error as Error);
    }
  }

  #end(): void {
    this.#isOver = true;
    this.#connectTimeout?.stop();
  }
}

/** Whether only the end of its connection ends an answer. */
function isUnframed({ headers }: IncomingMessage): boolean {
  return headers["content-length"] === undefined &&
    headers["transfer-encoding"] === undefined;
}

/**
 * Throws where the address, the target or a header is not valid. The length is
 * stated, as Node frames bodies of some methods only.
 */
function requestOf(call: BackendCall): ClientRequest {
  const length = call.body.length;
  const isStated = length > 0 || BODY_METHODS.includes(call.method);
  return request({
    agent: connectionAgent,
    ...splitAddress(call.address),
    method: call.method,
    path: call.target,
    headers: isStated
      ? [...call.headers, "Content-Length", String(length)]
      : [...call.headers],
    setHost: false,
  });
}
