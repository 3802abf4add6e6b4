/**
 * Checks the promises of the system against the evidence of a run: the records
 * of stand-ins and callers, and the bills in the log. Each broken promise is
 * reported as a violation with the request and the observed values. Shared by
 * the tests, the demo, the measurements and the soak.
 */
import { decodeEntry, isSuperseding, type RecordOf } from "../src/state/mod.ts";
import {
  answerLength,
  answerText,
  LOW_QUALITY_MARK,
  type RecordedAppend,
  type RecordedAttempt,
  type RecordedRun,
} from "../standin/mod.ts";
import {
  type CallRecord,
  type Evidence,
  type PromiseName,
  type Violation,
} from "./evidence.ts";

/** Returns every broken promise of a run. */
export function checkInvariants(evidence: Evidence): Violation[] {
  return [
    ...checkCompleteAnswers(evidence),
    ...checkLostAnswers(evidence),
    ...checkAtMostOnce(evidence),
    ...checkBills(evidence),
    ...checkVersions(evidence),
    ...checkSessions(evidence),
    ...checkRefusals(evidence),
    ...checkLeavingServers(evidence),
    ...checkRevisions(evidence),
  ];
}

/**
 * Returns the effective bill of each request: a bill of a complete answer
 * supersedes one of a partial answer, otherwise the first bill counts.
 */
export function billsOf(
  appends: readonly RecordedAppend[],
): Map<string, RecordOf<"bill">> {
  const bills = new Map<string, RecordOf<"bill">>();
  for (const append of appends) {
    if (!append.stream.startsWith("bills")) continue;
    for (const record of decodeEntry(append.offset, append.payload).records) {
      if (record.kind !== "bill") continue;
      const previous = bills.get(record.requestId);
      if (previous !== undefined && !isSuperseding(record, previous)) continue;
      bills.set(record.requestId, record);
    }
  }
  return bills;
}

/** Whether a call's text is the answer of its version to its request. */
export function isExpectedText(call: CallRecord): boolean {
  return call.text.replaceAll(LOW_QUALITY_MARK, "") === answerText(call);
}

function checkCompleteAnswers(evidence: Evidence): Violation[] {
  const found: Violation[] = [];
  for (const call of evidence.calls) {
    if (call.kind !== "model" || call.version === "") continue;
    const text = call.text.replaceAll(LOW_QUALITY_MARK, "");
    const expected = answerText(call);
    const isExpected = call.end === "whole"
      ? text === expected
      : expected.startsWith(text);
    if (isExpected) continue;
    const detail = `${call.end}: ${text.length} of ${expected.length} letters`;
    found.push(violation("whole_answer", call.requestId, detail));
  }
  return found;
}

function checkLostAnswers(evidence: Evidence): Violation[] {
  const found: Violation[] = [];
  for (const [requestId, calls] of groupBy(evidence.calls, "requestId")) {
    if (calls.at(-1)?.end !== "cut") continue;
    const detail = `${calls.length} calls, no complete answer and no refusal`;
    found.push(violation("no_lost_answer", requestId, detail));
  }
  return found;
}

function checkAtMostOnce(evidence: Evidence): Violation[] {
  const found: Violation[] = [];
  const keyed = evidence.runs.filter((run) => run.key !== "");
  for (const [key, runs] of groupBy(keyed, "key")) {
    if (runs.length < 2) continue;
    const servers = runs.map((run) => run.server).join(", ");
    found.push(violation("at_most_once", key, `ran on ${servers}`));
  }
  return found;
}

function checkBills(evidence: Evidence): Violation[] {
  const found: Violation[] = [];
  const bills = billsOf(evidence.appends);
  const attempts = groupBy(evidence.attempts, "requestId");
  for (const call of evidence.calls) {
    if (call.end !== "whole") continue;
    const bill = bills.get(call.requestId);
    const fault = bill === undefined
      ? "no bill"
      : billFault(call, bill, attempts.get(call.requestId) ?? []);
    if (fault === undefined) continue;
    found.push(violation("one_bill", call.requestId, fault));
  }
  return found;
}

function billFault(
  call: CallRecord,
  bill: RecordOf<"bill">,
  attempts: readonly RecordedAttempt[],
): string | undefined {
  if (bill.workspace !== call.workspace) return `for ${bill.workspace}`;
  if (call.kind !== "model") return undefined;
  if (!bill.lines.some((line) => line.version === call.version)) {
    return `has no line for ${call.version}`;
  }
  const billed = bill.lines.reduce((sum, line) => sum + line.outputTokens, 0);
  const produced = attempts.reduce((sum, one) => sum + one.frameCount, 0);
  if (billed < answerLength(call)) return `only ${billed} tokens`;
  if (billed > produced) return `${billed} tokens, ${produced} produced`;
  return undefined;
}

function checkVersions(evidence: Evidence): Violation[] {
  const found: Violation[] = [];
  const calls = groupBy(evidence.calls, "requestId");
  for (const attempt of evidence.attempts) {
    const call = calls.get(attempt.requestId)?.[0];
    if (call === undefined) continue;
    const { allowed } = evidence.tree.resolve(call.workspace).values;
    if (!allowed.some((name) => name === attempt.version)) {
      const detail = `${attempt.version} in ${call.workspace}`;
      found.push(violation("allowed_version", attempt.requestId, detail));
    }
  }
  for (const { version, inForceMs } of evidence.withdrawals) {
    for (const attempt of evidence.attempts) {
      if (attempt.version !== version || attempt.atMs <= inForceMs) continue;
      const lateMs = Math.round(attempt.atMs - inForceMs);
      const detail = `${version}, ${lateMs} ms after it was in force`;
      found.push(violation("withdrawn_version", attempt.requestId, detail));
    }
  }
  return found;
}

function checkSessions(evidence: Evidence): Violation[] {
  const versions = new Map<string, string>();
  const found: Violation[] = [];
  for (const call of evidence.calls) {
    if (call.session === undefined || call.version === "") continue;
    const session = `${call.workspace}/${call.session}`;
    const version = versions.get(session) ?? call.version;
    versions.set(session, version);
    if (version === call.version) continue;
    const detail = `${call.version} after ${version} in ${session}`;
    found.push(violation("session_version", call.requestId, detail));
  }
  return found;
}

function checkRefusals(evidence: Evidence): Violation[] {
  const found: Violation[] = [];
  const attempts = groupBy(evidence.attempts, "requestId");
  const runs = groupBy(evidence.runs, "requestId");
  for (const [requestId, calls] of groupBy(evidence.calls, "requestId")) {
    for (const [index, call] of calls.entries()) {
      if (call.outcome !== "not_run") continue;
      const window = {
        fromMs: call.sentMs,
        untilMs: calls[index + 1]?.sentMs ?? Infinity,
      };
      const server = serverOf(runs.get(requestId) ?? [], window) ??
        serverOf((attempts.get(requestId) ?? []).filter(hasRun), window);
      if (server === undefined) continue;
      const detail = `"${call.reason}", but ${server} received the request`;
      found.push(violation("true_refusal", requestId, detail));
    }
  }
  return found;
}

interface Window {
  readonly fromMs: number;
  readonly untilMs: number;
}

function serverOf(
  work: readonly (RecordedAttempt | RecordedRun)[],
  window: Window,
): string | undefined {
  return work.find((one) =>
    one.atMs >= window.fromMs && one.atMs < window.untilMs
  )?.server;
}

function hasRun(attempt: RecordedAttempt): boolean {
  return attempt.outcome !== "refused";
}

function checkLeavingServers(evidence: Evidence): Violation[] {
  const found: Violation[] = [];
  for (const { server, fromMs } of evidence.leavingServers) {
    const work = [...evidence.attempts, ...evidence.runs];
    for (const one of work) {
      if (one.server !== server || one.atMs <= fromMs) continue;
      const detail = `${server}, ${Math.round(one.atMs - fromMs)} ms late`;
      found.push(violation("leaving_server", one.requestId, detail));
    }
  }
  return found;
}

function checkRevisions(evidence: Evidence): Violation[] {
  const newest = new Map<string, number>();
  const found: Violation[] = [];
  for (const { process, revision } of evidence.revisions) {
    const before = newest.get(process) ?? 0;
    newest.set(process, Math.max(before, revision));
    if (revision >= before) continue;
    const detail = `revision ${revision} after ${before}`;
    found.push(violation("revision_order", process, detail));
  }
  return found;
}

function violation(
  promise: PromiseName,
  subject: string,
  detail: string,
): Violation {
  return { promise, subject, detail };
}

function groupBy<Item, Key extends keyof Item>(
  items: readonly Item[],
  field: Key,
): Map<Item[Key], Item[]> {
  const groups = new Map<Item[Key], Item[]>();
  for (const item of items) {
    const group = groups.get(item[field]);
    if (group === undefined) groups.set(item[field], [item]);
    else group.push(item);
  }
  return groups;
}
