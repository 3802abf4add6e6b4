/**
 * Bills each request that ran exactly once. The end of an answer is released
 * only after its bill is appended. While the log is down, the bill is stored in
 * this VM's outbox and, if one is reachable, at a peer in another place. A new
 * request is refused while the outbox has no capacity for its bill.
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

/** Stores a bill at a peer in another place; false if no peer accepted it. */
export type HoldBillAtPeer = (bill: RecordOf<"bill">) => Promise<boolean>;

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

/**
 * Creates the filter that reserves capacity in the outbox for the bill of each
 * request, and refuses the request if there is none.
 */
export function createBillReservationFilter(outbox: RecordOutbox): Filter {
  return async (context, next) => {
    const reservation = outbox.reserve();
    if (reservation === undefined) {
      return err(notRun("outbox_full", {
        detail: "the outbox of unconfirmed bills is full",
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

/** Creates the filter that bills the work done by the rest of the chain. */
export function createBillingFilter(options: BillingOptions): Filter {
  return async (context, next) => {
    const outcome = await next(context);
    if (isBillable(context)) {
      const bill = billOf(context, { options, isWhole: outcome.isOk() });
      await appendBill(bill, options);
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
  input: { readonly options: BillingOptions; readonly isWhole: boolean },
): RecordOf<"bill"> {
  const { isWhole, options } = input;
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

async function appendBill(
  bill: RecordOf<"bill">,
  options: BillingOptions,
): Promise<void> {
  const shardKey = bill.requestId;
  const appended = await options.journal.append(bill, shardKey, {
    timeoutMs: outageAwareTimeoutMs(options.journal, options.appendTimeoutMs),
  });
  if (appended.isOk()) return;
  options.outbox.put({ record: bill, shardKey });
  const isHeldAtPeer = await options.holdAtPeer(bill);
  options.metrics.count("bill.held", 1, { isHeldAtPeer });
}

/**
 * Returns the bill line of one version, rounded up to whole micro-euros. A
 * version without a catalogue entry costs nothing.
 */
export function billLine(
  version: VersionName,
  usage: TokenUsage,
  catalogue: readonly CatalogueEntry[],
): BillLine {
  const entry = catalogue.find((candidate) => candidate.version === version);
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
