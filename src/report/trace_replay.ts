/**
 * Replays a trace: log entries build the states, and for every other line the
 * deciding code makes the decision again from these states. Stated outcomes are
 * used for the comparison only; the first one that differs is reported.
 */
import {
  LocalStops,
  mayStart,
  NO_SIGNALS,
  planVersions,
  QualityTable,
  recordSignal,
  serverStatus,
  takesNewWork,
} from "../decision/mod.ts";
import { AnswerProgress } from "../filter/answer_progress.ts";
import { checkFrame } from "../filter/frame_check.ts";
import { createRefusal } from "../filter/request_lifetime.ts";
import {
  ROOT_PATH,
  type Settings,
  type SettingsPath,
  type VersionName,
} from "../model/mod.ts";
import {
  ControlState,
  decodeEntry,
  LedgerState,
  RequestState,
} from "../state/mod.ts";
import {
  parseTraceEvent,
  type TraceEvent,
  type TraceEventOf,
} from "./trace_event.ts";
import { chosenServers } from "./trace_route.ts";

/** States built from the log entries replayed so far. */
export interface TraceState {
  readonly control: ControlState;
  readonly requests: ReadonlyMap<string, RequestState>;
  readonly ledgers: ReadonlyMap<string, LedgerState>;
}

/** A line whose replayed outcome differs from the stated one. */
export interface TraceDifference {
  /** 1 for the first line. */
  readonly lineNumber: number;
  readonly event: string;
  readonly stated: string;
  readonly found: string;
}

/** Result of a replay. */
export interface ReplayResult {
  readonly checkedCount: number;
  readonly difference: TraceDifference | undefined;
}

const EMPTY_STATE: TraceState = {
  control: ControlState.empty,
  requests: new Map(),
  ledgers: new Map(),
};

/** Replays the lines of a trace until the first difference. */
export function replayTrace(text: string): ReplayResult {
  let state = EMPTY_STATE;
  let checkedCount = 0;
  for (const [index, line] of text.split("\n").entries()) {
    if (line.trim() === "") continue;
    const lineNumber = index + 1;
    const parsed = parseTraceEvent(line);
    if (parsed.isErr()) {
      const difference = {
        lineNumber,
        event: "unreadable",
        stated: "an event",
        found: parsed.error.message,
      };
      return { checkedCount, difference };
    }
    const event = parsed.value;
    if (event.event === "entry") {
      state = applyEntry(state, event);
      continue;
    }
    checkedCount += 1;
    const stated = JSON.stringify(event.stated);
    const found = JSON.stringify(recomputeDecision(state, event));
    if (stated === found) continue;
    const difference = { lineNumber, event: event.event, stated, found };
    return { checkedCount, difference };
  }
  return { checkedCount, difference: undefined };
}

function applyEntry(
  state: TraceState,
  { stream, offset, payload }: TraceEventOf<"entry">,
): TraceState {
  const entry = decodeEntry(offset, payload);
  if (stream.startsWith("requests")) {
    const previous = state.requests.get(stream) ?? RequestState.empty;
    const requests = new Map(state.requests).set(stream, previous.apply(entry));
    return { ...state, requests };
  }
  if (stream.startsWith("bills")) {
    const previous = state.ledgers.get(stream) ?? LedgerState.empty;
    const ledgers = new Map(state.ledgers).set(stream, previous.apply(entry));
    return { ...state, ledgers };
  }
  return { ...state, control: state.control.apply(entry) };
}

type DecisionEvent = Exclude<TraceEvent, { event: "entry" }>;

function recomputeDecision(state: TraceState, event: DecisionEvent): unknown {
  switch (event.event) {
    case "edit":
      return state.control.editOf(event.id)?.verdict ?? "unknown";
    case "revision":
      return state.control.revision;
    case "may_start":
      return mayStart(event.version, selectionOf(state, event.path));
    case "choose":
      return firstVersion(state, event);
    case "pin":
      return requestsOf(state, event.stream).pinOf(event.session) ?? "";
    case "claim":
      return claimHolderOf(state, event);
    case "bill":
      return billOf(state, event);
    case "frames":
      return relayFrames(event);
    case "server_status":
      return isTakingWork(state, event);
    case "route":
      return chosenServers(event);
    case "refusal":
      return createRefusal("backend_failed", { ...event, detail: "" }).outcome;
  }
}

function settingsAt(state: TraceState, path: SettingsPath): Settings {
  return state.control.tree.resolve(path).values;
}

function selectionOf(
  state: TraceState,
  path: SettingsPath,
): Parameters<typeof mayStart>[1] {
  return {
    settings: settingsAt(state, path),
    control: state.control,
    localStops: LocalStops.empty,
  };
}

function firstVersion(
  state: TraceState,
  event: TraceEventOf<"choose">,
): string {
  const path = event.path;
  return planVersions({
    ...selectionOf(state, path),
    quality: QualityTable.empty,
    requestClass: event.requestClass,
    key: event.key,
    isInSession: event.isInSession,
    pinned: event.isInSession ? findPin(state, path) : undefined,
    isRatingAvailable: true,
  }).match((plan): string => plan.first, (refusal) => refusal.reason);
}

function findPin(
  state: TraceState,
  session: SettingsPath,
): VersionName | undefined {
  for (const requests of state.requests.values()) {
    const pinned = requests.pinOf(session);
    if (pinned !== undefined) return pinned;
  }
  return undefined;
}

function requestsOf(state: TraceState, stream: string): RequestState {
  return state.requests.get(stream) ?? RequestState.empty;
}

function claimHolderOf(
  state: TraceState,
  event: TraceEventOf<"claim">,
): TraceEventOf<"claim">["stated"] {
  const entry = requestsOf(state, event.stream)
    .claimOf(event.workspace, event.key);
  return {
    requestId: entry?.claim.requestId ?? "",
    result: entry?.outcome?.result ?? "",
  };
}

function billOf(
  state: TraceState,
  event: TraceEventOf<"bill">,
): TraceEventOf<"bill">["stated"] {
  const ledger = state.ledgers.get(event.stream) ?? LedgerState.empty;
  const bill = ledger.billOf(event.workspace, event.requestId);
  return {
    priceMicroEur: bill?.priceMicroEur ?? 0,
    billCount: ledger.totalOf(event.workspace).billCount,
  };
}

function relayFrames(
  event: TraceEventOf<"frames">,
): TraceEventOf<"frames">["stated"] {
  const progress = new AnswerProgress();
  for (const frame of event.frames) {
    const { requestId, attempt } = event;
    const expected = { requestId, attempt, index: progress.nextIndex };
    const verdict = checkFrame(expected, { ...frame, usage: undefined });
    if (verdict === "gap") break;
    if (verdict === "relay") progress.add({ ...frame, usage: undefined });
  }
  return { text: progress.text, isWhole: progress.isComplete };
}

function isTakingWork(
  state: TraceState,
  event: TraceEventOf<"server_status">,
): boolean {
  let signals = NO_SIGNALS;
  for (const { atMs, sign } of event.signs) {
    signals = recordSignal(signals, sign, atMs);
  }
  const settings = settingsAt(state, ROOT_PATH);
  const { server: vm, place, nowMs } = event;
  return takesNewWork(serverStatus(signals, { vm, place, settings, nowMs }));
}
