/**
 * Bills each request that ran exactly once. The answer's end is released only
 * when the bill is appended, or, while the log is down, when it waits in the
 * outbox here and, where one can be reached, at a peer in another place. New
 * work is refused while the outbox has no room for its bill.
 */
import { err } from "neverthrow";
import {
  type BillLine,
  type CatalogueEntry,
  type Metrics,
  notRun,
  type TokenUsage,
  type VersionName,
} from "../model/mod.ts";
import { type Journal } from "../client/mod.ts";
import { type RecordOf } from "../state/mod.ts";
import { outageAwareTimeoutMs } from "./outage_timeout.ts";
import { type Filter } from "./chain.ts";
import { type RequestContext } from "./context.ts";
import { contentId } from "./record_id.ts";
import { type RecordOutbox } from "./record_outbox.ts";

/** Has a peer in another place hold a bill; false when none could. */
export type HoldBillAtPeer = (bill: RecordOf<"bill">) => Promise<boolean>;

/** What billing works with. */
export interface BillingOptions {
  /** Name of this VM. */
  readonly self: string;
  readonly journal: Journal;
  readonly outbox: RecordOutbox;
  readonly holdAtPeer: HoldBillAtPeer;
  readonly appendTimeoutMs: number;
  readonly metrics: Metrics;
}

const OUTBOX_RETRY_MS = 2000;
const TOKENS_PER_MTOK = 1_000_000;

/** Creates the filter that holds room for a request's bill. */
export function createBillReservationFilter(outbox: RecordOutbox): Filter {
  return async (context, next) => {
    const reservation = outbox.reserve();
    if (reservation === undefined) {
      return err(notRun("outbox_full", {
        detail: "too many bills wait for the log",
        retryAfterMs: OUTBOX_RETRY_MS,
      }));
    }
    try {
      return await next(context);
    } finally {
      reservation.release();
    }
  };
}

/** Creates the filter that bills what the rest of the chain has run. */
export function createBillingFilter(options: BillingOptions): Filter {
  return async (context, next) => {
    const outcome = await next(context);
    if (isBillable(context)) {
      const bill = billOf(context, { options, isWhole: outcome.isOk() });
      await settle(bill, options);
    }
    return outcome;
  };
}

function isBillable({ request, run }: RequestContext): boolean {
  if (request.kind === "service") return run.hasRun;
  return run.lines.length > 0;
}

function billOf(
  { request, run }: RequestContext,
  of: { readonly options: BillingOptions; readonly isWhole: boolean },
): RecordOf<"bill"> {
  const { isWhole, options } = of;
  let priceMicroEur = 0;
  for (const line of run.lines) priceMicroEur += line.priceMicroEur;
  return {
    id: contentId(
      isWhole ? "bill" : "part",
      request.workspace,
      request.requestId,
    ),
    kind: "bill",
    requestId: request.requestId,
    workspace: request.workspace,
    requestClass: request.kind === "model" ? request.requestClass : "service",
    isWhole,
    lines: [...run.lines],
    priceMicroEur,
    vm: options.self,
  };
}

async function settle(
  bill: RecordOf<"bill">,
  options: BillingOptions,
): Promise<void> {
  const shardKey = bill.requestId;
  const appended = await options.journal.append(bill, shardKey, {
    timeoutMs: outageAwareTimeoutMs(options.journal, options.appendTimeoutMs),
  });
  if (appended.isOk()) return;
  options.outbox.put({ record: bill, shardKey });
  const isHeld = await options.holdAtPeer(bill);
  options.metrics.count("bill.held", 1, { isHeldAtPeer: isHeld });
}

/** The line of one version on a bill. */
export function billLine(
  version: VersionName,
  usage: TokenUsage,
  catalogue: readonly CatalogueEntry[],
): BillLine {
  const entry = catalogue.find((one) => one.version === version);
  const inputPrice = entry?.inputPriceMicroEurPerMTok ?? 0;
  const outputPrice = entry?.outputPriceMicroEurPerMTok ?? 0;
  const price = usage.inputTokens * inputPrice +
    usage.outputTokens * outputPrice;
  return {
    version,
    inputTokens: usage.inputTokens,
    outputTokens: usage.outputTokens,
    priceMicroEur: Math.ceil(price / TOKENS_PER_MTOK),
  };
}
