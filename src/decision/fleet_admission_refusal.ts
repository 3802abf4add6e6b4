/** Which waiting requests are refused, and when their callers may come back. */
import { giveReturn } from "./admission_returns.ts";
import {
  type AdmissionPlan,
  type CapacityView,
  orderWaiting,
  type WaitingRequest,
} from "./fleet_admission_order.ts";
import {
  type FleetAdmissionEffect,
  type FleetAdmissionOptions,
  type FleetAdmissionState,
  type FleetAdmissionStep,
  hasPressure,
  startRequest,
} from "./fleet_admission_state.ts";
import { countUse } from "./workspace_use.ts";

/** A request waits this share of its target without a known start. */
const UNKNOWN_WAIT_SHARE = 1 / 8;
/** Share of the target kept free, as starts vary. */
const TARGET_MARGIN_SHARE = 0.2;
/** Bounds the requests that wait at a VM for one service. */
const MAX_WAITING_COUNT = 200;
const MS_PER_SECOND = 1000;

/** Refuses the requests that don't start in time, in their order. */
export function refuseLate(
  start: FleetAdmissionState,
  options: FleetAdmissionOptions & {
    readonly plan: AdmissionPlan;
    readonly freeCount: number;
  },
): FleetAdmissionStep {
  const { nowMs, view, plan, others } = options;
  const isPaced = hasPressure(others);
  const ratePerSecond = isPaced ? plan.ratePerSecond : plan.capacityPerSecond;
  const readyCount = isPaced ? start.creditCount : options.freeCount;
  let state = start;
  let aheadCount = 0;
  const effects: FleetAdmissionEffect[] = [];
  const order = orderWaiting(start, plan);
  const lastInTime = order.findLastIndex((request) =>
    nowMs + view.answerMs <= targetAtMsOf(request)
  );
  for (const [index, request] of order.entries()) {
    const leftCount = Math.max(0, aheadCount + 1 - readyCount);
    const startAtMs = nowMs + leftCount * MS_PER_SECOND / ratePerSecond;
    const displaces = isPaced ? lastInTime >= 0 : lastInTime > index;
    const isRefused = aheadCount >= MAX_WAITING_COUNT ||
      isTooLate(request, { startAtMs, view, displaces });
    const isUnknown = !view.isKnown && isWaitOver(request, nowMs);
    if (!isRefused && !isUnknown) {
      aheadCount += 1;
      continue;
    }
    // Without news of the servers the first one finds out whether there is room.
    if (!isRefused && aheadCount === 0) {
      state = startRequest(state, request, { plan, nowMs });
      effects.push({ kind: "release", requestId: request.requestId });
      aheadCount += 1;
      continue;
    }
    const refusal = refuse(state, request, options);
    state = refusal.state;
    effects.push(...refusal.effects);
  }
  return { state, effects };
}

function isTooLate(
  request: WaitingRequest,
  { startAtMs, view, displaces }: {
    readonly startAtMs: number;
    readonly view: CapacityView;
    /** Whether it would keep a slot from others that can meet their target. */
    readonly displaces: boolean;
  },
): boolean {
  const endAtMs = startAtMs + view.answerMs;
  if (startAtMs + view.holdMs > request.deadlineAtMs) return true;
  return displaces && endAtMs > targetAtMsOf(request);
}

function targetAtMsOf({ arrivedAtMs, targetMs }: WaitingRequest): number {
  return arrivedAtMs + (1 - TARGET_MARGIN_SHARE) * targetMs;
}

function isWaitOver(
  { arrivedAtMs, targetMs }: WaitingRequest,
  nowMs: number,
): boolean {
  return nowMs - arrivedAtMs > UNKNOWN_WAIT_SHARE * targetMs;
}

function refuse(
  state: FleetAdmissionState,
  request: WaitingRequest,
  { plan, nowMs, random }: FleetAdmissionOptions & {
    readonly plan: AdmissionPlan;
  },
): FleetAdmissionStep {
  const { requestId, workspace, repeat } = request;
  const { returns, retryAfterMs } = giveReturn(state.returns, request, {
    ratePerSecond: plan.rateHereOf(workspace),
    nowMs,
    spread: random(),
  });
  const use = repeat === "early"
    ? state.use
    : countUse(state.use, { name: workspace, kind: "refused", nowMs });
  return {
    state: {
      ...state,
      use,
      returns,
      waiting: state.waiting.filter((one) => one !== request),
    },
    effects: [{ kind: "refuse", requestId, retryAfterMs }],
  };
}
