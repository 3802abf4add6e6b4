/**
 * The state of fleet-wide admission at one VM, the events that change it and
 * their effects.
 */
import { List, Map as PersistentMap } from "immutable";
import { type Random } from "../model/mod.ts";
import { advanceFairQueue, type FairQueue } from "./admission_order.ts";
import { endReturn, NO_RETURNS, type Returns } from "./admission_returns.ts";
import {
  type AdmissionPlan,
  type CapacityView,
  type WaitingRequest,
} from "./fleet_admission_order.ts";
import {
  countUse,
  NO_USE,
  type SharedUse,
  type WorkspaceUse,
} from "./workspace_use.ts";

/** The admission of one service at one VM; immutable. */
export interface FleetAdmissionState extends FairQueue {
  readonly waiting: List<WaitingRequest>;
  readonly use: WorkspaceUse;
  readonly returns: Returns;
  readonly releaseCount: number;
  /** Requests that this VM may start by its part of the fleet's rate. */
  readonly creditCount: number;
  /** Starts that follow from the requests asked for, and come due over time. */
  readonly comingCount: number;
  readonly creditAtMs: number;
}

export type FleetAdmissionEvent =
  | {
    readonly kind: "arrive";
    readonly request: Omit<WaitingRequest, "repeat">;
  }
  /** The caller of a waiting request has gone, or its time is over. */
  | { readonly kind: "leave"; readonly requestId: string }
  /** A slot opened, news arrived, or time passed. */
  | { readonly kind: "tick" };

export type FleetAdmissionEffect =
  | { readonly kind: "release"; readonly requestId: string }
  | {
    readonly kind: "refuse";
    readonly requestId: string;
    readonly retryAfterMs: number;
  };

export interface FleetAdmissionStep {
  readonly state: FleetAdmissionState;
  readonly effects: readonly FleetAdmissionEffect[];
}

/** What a VM knows at the time of an event. */
export interface FleetAdmissionOptions {
  readonly nowMs: number;
  readonly view: CapacityView;
  /** What other VMs report; `undefined` without recent reports. */
  readonly others: SharedUse | undefined;
  readonly random: Random;
}

/** Starts in advance for workspaces that ask for no more than their share. */
export const MAX_DEBT_COUNT = 3;
/** Below this rate of refusals nothing presses. */
const NEGLIGIBLE_PER_SECOND = 0.05;

export const IDLE_ADMISSION: FleetAdmissionState = {
  waiting: List(),
  use: NO_USE,
  returns: NO_RETURNS,
  virtualFinishTimes: PersistentMap(),
  virtualTime: 0,
  releaseCount: 0,
  creditCount: 1,
  comingCount: 0,
  creditAtMs: 0,
};

/** Whether requests of the service wait or were refused at some VMs. */
export function hasPressure(others: SharedUse | undefined): boolean {
  if (others === undefined) return false;
  return others.waitingCount > 0 ||
    others.workspaces.some(({ refusedPerSecond }) =>
      refusedPerSecond > NEGLIGIBLE_PER_SECOND
    );
}

/** Takes a waiting request from the queue and counts its start. */
export function startRequest(
  state: FleetAdmissionState,
  request: WaitingRequest,
  { plan, nowMs }: { readonly plan: AdmissionPlan; readonly nowMs: number },
): FleetAdmissionState {
  const { workspace, digest } = request;
  const cost = 1 / plan.partHereOf(workspace);
  return {
    ...state,
    ...advanceFairQueue(state, { workspace, cost }),
    waiting: state.waiting.filter((one) => one !== request),
    use: countUse(state.use, { name: workspace, kind: "started", nowMs }),
    returns: endReturn(state.returns, digest),
    releaseCount: state.releaseCount + 1,
    creditCount: Math.max(-MAX_DEBT_COUNT, state.creditCount - 1),
  };
}
