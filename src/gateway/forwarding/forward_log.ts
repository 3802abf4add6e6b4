/** Log lines and metrics of a forwarded request. */
import { hash32 } from "../../model/mod.ts";
import { type AnswerTiming } from "../callers/answer_timing.ts";
import { type FleetCandidate } from "../servers/backend_fleet.ts";
import {
  type CallerExchange,
  type GatewayRefusal,
} from "../callers/caller_exchange.ts";
import {
  type ForwardContext,
  type ForwardRequest,
  type VersionReason,
} from "./forward_context.ts";
import { type RetryDenial } from "./request_retries.ts";
import { type PromptAttempt } from "../prompts/prompt_quarantine.ts";

const PERCENT = 100;

/** A request's progress at the time of a log line. */
export interface LoggedProgress {
  readonly model: string | undefined;
  readonly version: string | undefined;
  /** Attempt outcomes and escalations so far, in order. */
  readonly attempts: readonly string[];
  /** The number of the last event sent to the caller or named by it. */
  readonly lastEvent: number | undefined;
}

/**
 * How the last server ended a stream: with its length or last chunk, or only by
 * closing its connection, which a broken stream may look like too.
 */
export type ServerEnding = "marked" | "unmarked";

/** Logs and counts a request that is refused by its head. */
export function logRefusal(
  { logger, metrics }: ForwardContext,
  { status, reason }: GatewayRefusal,
  { requestId, manifestVersion, manifestAgeMs }: {
    readonly requestId: string | undefined;
    readonly manifestVersion: number | undefined;
    /** Infinity before the first manifest. */
    readonly manifestAgeMs: number;
  },
): void {
  metrics.count("refused", { status, reason });
  logger.info("request refused", {
    request: requestId,
    status,
    reason,
    manifestVersion,
    manifestAgeMs: Number.isFinite(manifestAgeMs)
      ? Math.round(manifestAgeMs)
      : undefined,
  });
}

/** Logs the server chosen for an attempt. */
export function logChoice(
  { logger, clock, limits, cold, slowStarts }: ForwardContext,
  { caller, route, manifestVersion, permittedRegions, receivedAtMs }:
    ForwardRequest,
  choice: LoggedProgress & {
    readonly candidate: FleetCandidate;
    readonly attemptCount: number;
    readonly versionReason: VersionReason;
  },
): void {
  const { server, loadCount, waitMs, failureShare, placement, estimate } =
    choice.candidate;
  logger.info("request sent", {
    request: caller.id,
    try: choice.attemptCount,
    cause: choice.attempts.at(-1),
    lastEvent: choice.lastEvent,
    route: route.name,
    server: server.id,
    serverPlace: permittedRegions === undefined ? undefined : server.place,
    version: server.version,
    versionReason: choice.versionReason,
    session: caller.session === undefined
      ? undefined
      : hash32(caller.session).toString(36),
    model: choice.model ?? caller.model,
    loadCount: Math.round(loadCount),
    waitMs: Math.round(waitMs),
    expectedMs: rounded(estimate?.firstTokenMs),
    home: placement?.home,
    limitPerSecond: limits.limitOf(server),
    isCold: cold.leftMs(server) > 0,
    slowStartPerSecond: slowStarts.perSecondOf(server),
    failurePercent: Math.round(failureShare * PERCENT),
    manifestVersion,
    ageMs: Math.round(clock() - receivedAtMs),
  });
}

/** Logs the VM that an attempt goes through. */
export function logRelay(
  { logger, clock, metrics }: ForwardContext,
  { caller, route, receivedAtMs }: ForwardRequest,
  relay: LoggedProgress & {
    readonly vm: string;
    readonly attemptCount: number;
  },
): void {
  metrics.count("relayed", { route: route.name });
  logger.info("request relayed", {
    request: caller.id,
    try: relay.attemptCount,
    cause: relay.attempts.at(-1),
    lastEvent: relay.lastEvent,
    route: route.name,
    through: relay.vm,
    ageMs: Math.round(clock() - receivedAtMs),
  });
}

/** An answer that a server broke off, or did not begin. */
export interface BrokenAnswer extends PromptAttempt {
  readonly digest: string;
  readonly cause: string;
  readonly sentForMs: number;
  /** Time since the first data; undefined if there was none. */
  readonly answeredForMs: number | undefined;
}

/** Logs an answer that broke off, with the parts of its prompt. */
export function logBreak(
  { logger }: ForwardContext,
  broken: BrokenAnswer,
): void {
  logger.info("answer broke off", {
    request: broken.requestId,
    digest: broken.digest,
    server: broken.server.id,
    cause: broken.cause,
    sentForMs: Math.round(broken.sentForMs),
    answeredForMs: rounded(broken.answeredForMs),
    promptParts: broken.partIds.join(" "),
  });
}

/** Logs and counts a request that has ended or whose caller disconnected. */
export function logEnd(
  { logger, clock, metrics }: ForwardContext,
  request: ForwardRequest,
  end: LoggedProgress & {
    readonly outcome: string;
    readonly exchange: CallerExchange;
    /** `undefined` where no server has ended a stream. */
    readonly serverEnd: ServerEnding | undefined;
    /** Why it was not sent again, if that was not allowed. */
    readonly retryDenial: RetryDenial | undefined;
    /** How often the server had to wait for the caller. */
    readonly callerWaitCount: number;
    readonly timing: AnswerTiming;
    readonly medianPauseMs: number | undefined;
    /** How long it waited for a slot; undefined if it was decided at once. */
    readonly waitedMs: number | undefined;
  },
): void {
  const { caller, route, service, workspace, manifestVersion } = request;
  const { permittedRegions } = request;
  const { outcome, exchange, serverEnd, timing } = end;
  const { status, framing, ending } = exchange;
  const durationMs = clock() - request.receivedAtMs;
  metrics.count("requests", { route: route.name, outcome, status });
  if (framing !== undefined && ending !== undefined) {
    const server = serverEnd ?? "none";
    metrics.count("answer_ends", { caller: ending, framing, server });
  }
  if (workspace !== undefined) {
    metrics.count("workspace_requests", { workspace: workspace.name, status });
  }
  metrics.time("request_ms", { durationMs, route: route.name });
  const { firstByteMs } = timing;
  if (firstByteMs !== undefined) {
    metrics.time("first_byte_ms", {
      durationMs: firstByteMs,
      route: route.name,
    });
  }
  const isLate = timing.isLate(route);
  if (isLate) metrics.count("late", { route: route.name });
  logger.info("request ended", {
    request: caller.id,
    outcome,
    status,
    route: route.name,
    service,
    workspace: workspace?.name,
    permittedRegions: permittedRegions && [...permittedRegions].join(" "),
    model: end.model,
    version: end.version,
    manifestVersion,
    trail: end.attempts.join(" "),
    retryDenial: outcome === "answered" ? undefined : end.retryDenial,
    callerEnd: ending,
    framing,
    serverEnd,
    lastEvent: end.lastEvent,
    callerWaitCount: end.callerWaitCount || undefined,
    durationMs: Math.round(durationMs),
    firstByteMs: rounded(firstByteMs),
    medianPauseMs: rounded(end.medianPauseMs),
    waitedMs: end.waitedMs ? Math.round(end.waitedMs) : undefined,
    longestPauseMs: Math.round(timing.longestPauseMs),
    isLate,
  });
}

function rounded(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}
