/** The requests of this VM that are being forwarded. */
import { type CallerExchange } from "./caller_exchange.ts";
import {
  type ForwardContext,
  type ForwardRequest,
} from "../forwarding/forward_context.ts";
import { Forwarding } from "../forwarding/forwarding.ts";

export class OpenRequests {
  readonly #forwardings = new Set<Forwarding>();

  /** Forwards a request; it stays open until its answer ends. */
  forward(
    context: ForwardContext,
    { request, exchange }: {
      readonly request: ForwardRequest;
      readonly exchange: CallerExchange;
    },
  ): void {
    const forwarding = new Forwarding(context, request, exchange);
    this.#forwardings.add(forwarding);
    forwarding.onFinish = () => this.#forwardings.delete(forwarding);
    try {
      forwarding.start();
    } catch (error) {
      forwarding.endWithException(error as Error);
    }
  }

  /** Answers all open requests, as the VM ends. */
  endAll(): void {
    for (const forwarding of [...this.#forwardings]) {
      try {
        forwarding.endWithVm();
      } catch {
        // One request in a broken state must not keep the others unanswered.
      }
    }
  }
}
