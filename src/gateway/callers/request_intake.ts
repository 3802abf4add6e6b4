/**
 * Takes the requests that callers send: admits or refuses each by its head, and
 * forwards it when its body has arrived.
 */
import { type CallerExchange, type GatewayRefusal } from "./caller_exchange.ts";
import { type HeadHandler, type ReceivedRequest } from "./caller_server.ts";
import { type ForwardContext } from "../forwarding/forward_context.ts";
import { logRefusal } from "../forwarding/forward_log.ts";
import { type GatewayState } from "../gateway_state.ts";
import { type OpenRequests } from "./open_requests.ts";
import { type CallerRequest } from "../protocol.ts";
import { admitRequest, type AdmittedRequest } from "./request_admission.ts";
import { requestDigest } from "./request_digest.ts";

/** Comes back soon, as a caller refused by a stopping VM can use another. */
const LEAVING_REFUSAL: GatewayRefusal = {
  status: 503,
  reason: "leaving",
  retryAfterMs: 50,
};

export interface RequestIntakeOptions {
  readonly context: ForwardContext;
  readonly state: GatewayState;
  readonly openRequests: OpenRequests;
  /** Whether the VM takes new requests. */
  readonly isAccepting: () => boolean;
  readonly manifestAgeMs: () => number;
}

export class RequestIntake {
  readonly #options: RequestIntakeOptions;

  constructor(options: RequestIntakeOptions) {
    this.#options = options;
  }

  /** Handles a request's head; an exception ends this request alone. */
  readonly receive: HeadHandler = (received) => {
    const { exchange } = received;
    const onBody = this.#guard(exchange, {
      status: 503,
      handle: () => this.#receive(received),
    });
    if (onBody === undefined) return undefined;
    // From here on the request may have been sent.
    return (body) =>
      this.#guard(exchange, { status: 502, handle: () => onBody(body) });
  };

  #receive(
    { request, exchange, receivedAtMs }: ReceivedRequest,
  ): ReturnType<HeadHandler> {
    const { context, openRequests, isAccepting } = this.#options;
    const caller = context.protocol.readRequest({
      method: request.method ?? "GET",
      target: request.url ?? "/",
      rawHeaders: request.rawHeaders,
    });
    if (typeof caller !== "string") exchange.requestId = caller.id;
    const admitted = typeof caller === "string"
      ? { status: 400, reason: caller }
      : this.#admit(caller);
    if ("status" in admitted) {
      const requestId = typeof caller === "string" ? undefined : caller.id;
      this.#logRefusal(admitted, requestId);
      exchange.refuse(admitted);
      return undefined;
    }
    return (body) => {
      // The VM may have begun to refuse while the body arrived.
      if (!isAccepting()) return exchange.refuse(LEAVING_REFUSAL);
      const digest = requestDigest(admitted.caller, body);
      const request = { ...admitted, body, digest, receivedAtMs };
      openRequests.forward(context, { request, exchange });
    };
  }

  /** Ends the request with a status where its handling throws. */
  #guard<T>(
    exchange: CallerExchange,
    { status, handle }: { readonly status: number; readonly handle: () => T },
  ): T | undefined {
    try {
      return handle();
    } catch (error) {
      const { metrics, logger } = this.#options.context;
      metrics.count("request_exceptions", { route: "none" });
      const { stack, message } = error as Error;
      logger.error("request failed by an exception", {
        message: stack ?? message,
      });
      exchange.refuse({ status, reason: "internal_error" });
      return undefined;
    }
  }

  #admit(caller: CallerRequest): AdmittedRequest | GatewayRefusal {
    const { context, state, isAccepting } = this.#options;
    if (!isAccepting()) return LEAVING_REFUSAL;
    return admitRequest({ state, regions: context.regions }, caller);
  }

  #logRefusal(refusal: GatewayRefusal, requestId: string | undefined): void {
    const { context, state, manifestAgeMs } = this.#options;
    logRefusal(context, refusal, {
      requestId,
      manifestVersion: state.routes?.manifest.version,
      manifestAgeMs: manifestAgeMs(),
    });
  }
}
