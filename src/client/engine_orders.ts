/**
 * Client for orders to engines and for the load reports that show their effect.
 * If the response to an order is lost, the next report shows whether the order
 * was carried out.
 */
import { err, ok, type Result } from "neverthrow";
import { Agent, type Dispatcher } from "undici";
import { type VersionName } from "../model/mod.ts";
import { parseLoadReport, type ServerReport } from "./load_report.ts";

/** An order to an engine; its request body. */
export interface EngineOrder {
  readonly orderId: string;
  readonly fence: number;
  readonly kind: "load" | "unload" | "role" | "adapter";
  readonly version?: VersionName;
  readonly role?: ServerReport["role"];
  readonly adapter?: string;
}

/** The reason why an order was not confirmed. */
export type OrderFault =
  /** The engine has received a newer fencing number. */
  | "stale_fence"
  /** The engine refused it for another reason. */
  | "refused"
  /** No response; the order may have been carried out. */
  | "unknown";

/** An order that was not confirmed. */
export class OrderError extends Error {
  override readonly name = "OrderError";
  readonly fault: OrderFault;

  constructor(fault: OrderFault, message: string) {
    super(message);
    this.fault = fault;
  }
}

/** Reports of and orders to engines, as used by the fleet controller. */
export interface EngineControl {
  /** Fetches an engine's load report; undefined if that fails. */
  report(address: string): Promise<ServerReport | undefined>;
  order(
    address: string,
    order: EngineOrder,
  ): Promise<Result<void, OrderError>>;
  close(): Promise<void>;
}

const MAX_RESPONSE_BYTES = 1024 * 1024;
const CONNECTIONS_PER_SERVER = 2;

/** Creates a client that sends orders over HTTP. */
export function createEngineControl(
  options: { readonly timeoutMs: number },
): EngineControl {
  const { timeoutMs } = options;
  const agent = new Agent({
    connections: CONNECTIONS_PER_SERVER,
    connect: { timeout: timeoutMs },
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
    maxResponseSize: MAX_RESPONSE_BYTES,
  });

  function send(
    address: string,
    call: Pick<Dispatcher.RequestOptions, "path" | "method" | "body">,
  ): Promise<Dispatcher.ResponseData> {
    return agent.request({
      ...call,
      origin: `http://${address}`,
      headers: { "content-type": "application/json" },
      signal: AbortSignal.timeout(timeoutMs),
    });
  }

  async function report(address: string): Promise<ServerReport | undefined> {
    try {
      const response = await send(address, {
        path: "/v1/load",
        method: "GET",
      });
      const text = await response.body.text();
      return response.statusCode === 200 ? parseLoadReport(text) : undefined;
    } catch {
      return undefined;
    }
  }

  async function order(
    address: string,
    body: EngineOrder,
  ): Promise<Result<void, OrderError>> {
    try {
      const response = await send(address, {
        path: "/v1/orders",
        method: "POST",
        body: JSON.stringify(body),
      });
      const text = await response.body.text();
      return resultOf(response.statusCode, text);
    } catch (error) {
      return err(new OrderError("unknown", String(error)));
    }
  }

  return { report, order, close: () => agent.destroy() };
}

function resultOf(status: number, text: string): Result<void, OrderError> {
  if (status === 200) return ok(undefined);
  if (status === 409 && text.includes("stale_fence")) {
    return err(new OrderError("stale_fence", text));
  }
  return err(new OrderError("refused", `the engine responded with ${status}`));
}
