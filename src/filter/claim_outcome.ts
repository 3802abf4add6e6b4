/** Outcomes of claimed requests: recording them and answering retries. */
import { err, ok } from "neverthrow";
import { z } from "zod";
import { mayHaveRun, type Refusal, versionNameSchema } from "../model/mod.ts";
import { type ClaimState, type RecordOf } from "../state/mod.ts";
import { type Outcome } from "./chain.ts";
import {
  type Answer,
  type ModelAnswer,
  type PlainAnswer,
  type RequestContext,
} from "./context.ts";

const MODEL_CONTENT_TYPE = "application/vnd.goldcrestpost.answer+json";
const OK_STATUS = 200;
const IN_USE_RETRY_MS = 1000;

const modelAnswerSchema = z.object({
  version: versionNameSchema,
  text: z.string(),
  usage: z.object({
    inputTokens: z.number().int(),
    outputTokens: z.number().int(),
  }),
});

/** Options of an outcome record. */
export interface OutcomeRecordOptions {
  readonly id: string;
  /** Size of the largest answer body that is stored in the record. */
  readonly maxBytes: number;
}

/**
 * Creates the record of how a claimed request ended. The body of an answer that
 * exceeds `maxBytes` is omitted, which status 0 marks.
 */
export function createOutcomeRecord(
  claim: RecordOf<"claim">,
  outcome: Outcome,
  options: OutcomeRecordOptions,
): RecordOf<"outcome"> {
  const head = {
    id: options.id,
    kind: "outcome" as const,
    workspace: claim.workspace,
    key: claim.key,
    claimId: claim.id,
  };
  const noAnswer = { status: 0, contentType: "", bodyBase64: "" };
  if (outcome.isErr()) {
    const isNotRun = outcome.error.outcome === "not_run";
    return { ...head, ...noAnswer, result: isNotRun ? "not_run" : "unknown" };
  }
  const plain = toPlainAnswer(outcome.value);
  const isStored = plain.body.byteLength <= options.maxBytes;
  if (!isStored) return { ...head, ...noAnswer, result: "done" };
  return {
    ...head,
    result: "done",
    status: plain.status,
    contentType: plain.contentType,
    bodyBase64: Buffer.from(plain.body).toString("base64"),
  };
}

/**
 * Answers a retry of a claimed key from the recorded outcome. A model's answer
 * is also written to the caller's sink.
 */
export async function replayOutcome(
  existing: ClaimState,
  context: RequestContext,
): Promise<Outcome> {
  const { outcome } = existing;
  if (outcome === undefined) {
    return err(
      inUse("the request of this key is running, or its VM was lost"),
    );
  }
  if (outcome.result !== "done") {
    return err(
      inUse(
        "the request of this key was dispatched; its effect is unknown",
      ),
    );
  }
  if (outcome.status === 0) {
    return err(mayHaveRun("answer_unknown", {
      detail: "the request of this key ran; its answer was too long to store",
    }));
  }
  const body = Buffer.from(outcome.bodyBase64, "base64");
  if (outcome.contentType !== MODEL_CONTENT_TYPE) {
    const { status, contentType } = outcome;
    return ok({ kind: "plain", status, contentType, body });
  }
  const answer = parseModelAnswer(body);
  if (answer === undefined) return err(inUse("the recorded answer is invalid"));
  await writeCompleteAnswer(answer, context);
  return ok(answer);
}

function inUse(detail: string): Refusal {
  return mayHaveRun("key_in_use", { detail, retryAfterMs: IN_USE_RETRY_MS });
}

function toPlainAnswer(answer: Answer): PlainAnswer {
  if (answer.kind === "plain") return answer;
  const { version, text, usage } = answer;
  return {
    kind: "plain",
    status: OK_STATUS,
    contentType: MODEL_CONTENT_TYPE,
    body: Buffer.from(JSON.stringify({ version, text, usage })),
  };
}

function parseModelAnswer(body: Uint8Array): ModelAnswer | undefined {
  try {
    const parsed = modelAnswerSchema.safeParse(
      JSON.parse(Buffer.from(body).toString("utf8")),
    );
    return parsed.success ? { kind: "model", ...parsed.data } : undefined;
  } catch {
    return undefined;
  }
}

async function writeCompleteAnswer(
  answer: ModelAnswer,
  { request, sink }: RequestContext,
): Promise<void> {
  const { requestId } = request;
  sink.begin({ requestId, version: answer.version, sessionToken: undefined });
  await sink.write({
    requestId,
    attempt: 0,
    index: 0,
    text: answer.text,
    isLast: true,
    usage: answer.usage,
  });
}
