/**
 * Fleet-wide admission: whether a request of a service starts now, waits at its
 * VM or is refused, and when it may come back. While there is room a request
 * starts at once. When all open servers are full, requests wait in order and
 * start as slots open: at a VM that hears of no other one by the free slots that
 * it knows of, otherwise at the rate of the fleet's slots that is due to the
 * workspaces' requests at this VM. The rates that VMs report of workspaces make
 * the shares those of the fleet, not of each VM.
 */
import { endReturn, repeatOf } from "./admission_returns.ts";
import {
  type AdmissionPlan,
  createPlan,
  orderWaiting,
  type WaitingRequest,
} from "./fleet_admission_order.ts";
import { refuseLate } from "./fleet_admission_refusal.ts";
import {
  type FleetAdmissionEffect,
  type FleetAdmissionEvent,
  type FleetAdmissionOptions,
  type FleetAdmissionState,
  type FleetAdmissionStep,
  hasPressure,
  MAX_DEBT_COUNT,
  startRequest,
} from "./fleet_admission_state.ts";
import { countUse, type SharedUse } from "./workspace_use.ts";

/** Starts that a VM with few requests may save up. */
const MAX_CREDIT_COUNT = 2;
/** The time over which the start due to a request comes, so that starts spread. */
const COMING_MS = 100;

/** Applies an event, then starts and refuses waiting requests. */
export function applyFleetAdmission(
  state: FleetAdmissionState,
  event: FleetAdmissionEvent,
  options: FleetAdmissionOptions,
): FleetAdmissionStep {
  switch (event.kind) {
    case "arrive":
      if (isRoomFor(state, options)) {
        return startAtOnce(state, event.request, options.nowMs);
      }
      return arrive(state, event.request, options);
    case "leave": {
      const { requestId } = event;
      const waiting = state.waiting.filter((one) =>
        one.requestId !== requestId
      );
      return settle({ ...state, waiting }, options);
    }
    case "tick":
      return settle(state, options);
  }
}

function isRoomFor(
  { waiting }: FleetAdmissionState,
  { view, others }: FleetAdmissionOptions,
): boolean {
  return waiting.isEmpty() && view.freeCount >= 1 &&
    !hasPressure(others);
}

function startAtOnce(
  state: FleetAdmissionState,
  { requestId, workspace: name, digest }: Omit<WaitingRequest, "repeat">,
  nowMs: number,
): FleetAdmissionStep {
  const asked = countUse(state.use, { name, kind: "asked", nowMs });
  const use = countUse(asked, { name, kind: "started", nowMs });
  const returns = endReturn(state.returns, digest);
  return {
    state: { ...state, use, returns },
    effects: [{ kind: "release", requestId }],
  };
}

function arrive(
  state: FleetAdmissionState,
  request: Omit<WaitingRequest, "repeat">,
  options: FleetAdmissionOptions,
): FleetAdmissionStep {
  const { nowMs } = options;
  const repeat = repeatOf(state.returns, request.digest, nowMs);
  const name = request.workspace;
  const waiting = state.waiting.push({ ...request, repeat });
  // Repeating a request early must not raise the workspace's part.
  if (repeat === "early") return settle({ ...state, waiting }, options);
  const use = countUse(state.use, { name, kind: "asked", nowMs });
  return settle({ ...state, use, waiting }, { ...options, asking: name });
}

function settle(
  start: FleetAdmissionState,
  options: FleetAdmissionOptions & { readonly asking?: string },
): FleetAdmissionStep {
  if (start.waiting.isEmpty()) return { state: start, effects: [] };
  const plan = createPlan(start, options);
  const accrued = accrue(start, options.nowMs);
  const { asking } = options;
  const comingCount = accrued.comingCount +
    (asking === undefined ? 0 : plan.startShareOf(asking));
  const released = release({ ...accrued, comingCount }, plan, options);
  const refused = refuseLate(released.state, { ...options, ...released, plan });
  return {
    state: refused.state,
    effects: [...released.effects, ...refused.effects],
  };
}

/**
 * Each request asked for brings the share of it that may start, so that the sum
 * over all VMs is the capacity, however unevenly requests arrive at each.
 */
function accrue(
  state: FleetAdmissionState,
  nowMs: number,
): FleetAdmissionState {
  const passedMs = Math.max(0, nowMs - state.creditAtMs);
  const dueCount = state.comingCount * (1 - Math.exp(-passedMs / COMING_MS));
  return {
    ...state,
    creditCount: Math.min(MAX_CREDIT_COUNT, state.creditCount + dueCount),
    comingCount: state.comingCount - dueCount,
    creditAtMs: nowMs,
  };
}

function release(
  start: FleetAdmissionState,
  plan: AdmissionPlan,
  options: FleetAdmissionOptions,
): FleetAdmissionStep & { readonly freeCount: number } {
  let state = start;
  let { freeCount } = options.view;
  const effects: FleetAdmissionEffect[] = [];
  for (;;) {
    const [next] = orderWaiting(state, plan);
    if (next === undefined) break;
    const isWithinShare = plan.isWithinShare(next.workspace);
    const known = { ...options, freeCount, isWithinShare };
    if (!mayStart(state, known)) break;
    freeCount -= 1;
    state = startRequest(state, next, { plan, nowMs: options.nowMs });
    effects.push({ kind: "release", requestId: next.requestId });
  }
  return { state, effects, freeCount };
}

function mayStart(
  state: FleetAdmissionState,
  { view, others, freeCount, isWithinShare }: {
    readonly view: FleetAdmissionOptions["view"];
    readonly others: SharedUse | undefined;
    readonly freeCount: number;
    readonly isWithinShare: boolean;
  },
): boolean {
  // Without an open server, the rules that closed them refuse the request.
  if (view.slotCount === 0) return true;
  if (!hasPressure(others)) return freeCount >= 1;
  // A burst of a small workspace need not wait for the average to allow it.
  return state.creditCount >= (isWithinShare ? 1 - MAX_DEBT_COUNT : 1);
}
