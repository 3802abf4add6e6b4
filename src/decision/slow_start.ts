/**
 * Slow start of a server that has just started or recovered. All VMs together
 * send it a few requests a second at first, twice as many after answers in time
 * and fewer after refusals, late answers or breaks. Each VM takes its part of
 * that rate in turns, so the sum holds without a message between VMs.
 *
 * Raises and setbacks are counts that only grow. VMs join what they know by the
 * maximum of each, so messages may arrive in any order and repeatedly, and the
 * same fault seen by many VMs counts once.
 */

/** Requests a second of all VMs together at the beginning. */
const FIRST_PER_SECOND = 4;
/** Each stage doubles the rate; from this one on it is not limited. */
const LAST_STAGE = 5;
/** A raise shows in the answers before the next one. */
const RAISE_PERIOD_MS = 400;
/** A start this soon after another one broke the server: raises are slower. */
const BROKEN_START_MS = 15_000;
const LONGEST_RAISE_PERIOD_MS = 1600;
/**
 * With as many VMs an answer of one stands for several: until news of it has
 * reached the others, theirs have arrived too.
 */
const MANY_VMS = 16;
/** No raise for this long after a setback. */
const SETBACK_HOLD_MS = 800;
/** A limit that was not reached for this long does not bind. */
const UNUSED_MS = 1500;
/** By then the usual estimates of load and failures are sufficient. */
const MAX_DURATION_MS = 10_000;
/** An unused turn ends, so that turns do not add up to a burst. */
const TURN_MS = 2000;
/** Turns that may follow at once, as time at the VM's part of the rate. */
const BURST_MS = 100;
/** Bounds the requests in flight where service times are short. */
const LEAST_HOLD_MS = 125;
/** More than the expected time in flight, as times vary. */
const HOLD_FACTOR = 2;
/** An answer that takes this much longer than at other servers is late. */
const LATE_FACTOR = 2.5;
const LATE_MARGIN_MS = 50;
const SECOND_MS = 1000;
/** The most requests that all VMs together send in the first second. */
export const FIRST_SECOND_COUNT = 9;

/** How far a slow start is, as VMs tell each other. */
export interface SlowStartStage {
  readonly raiseCount: number;
  readonly setbackCount: number;
}

/** A VM's view of one slow start; immutable. */
export interface SlowStart extends SlowStartStage {
  readonly startedAtMs: number;
  readonly changedAtMs: number;
  readonly setbackAtMs: number;
  /** When a request was last kept from the server. */
  readonly limitedAtMs: number;
  /** Parts of a turn; a request may be sent from 1 on. */
  readonly turnCount: number;
  /** When the turn began; undefined before it. */
  readonly turnSinceMs: number | undefined;
  readonly updatedAtMs: number;
  readonly isEnded: boolean;
  /** Time between two raises at least. */
  readonly raisePeriodMs: number;
}

/** What happened to a request of this VM, sent at `sentAtMs`. */
export type SlowStartEvent =
  | { readonly kind: "started" }
  /** A request was kept from the server. */
  | { readonly kind: "limited" }
  | {
    readonly kind: "in_time" | "late" | "refused" | "broke";
    readonly sentAtMs: number;
  };

export interface SlowStartTime {
  readonly nowMs: number;
  readonly vmCount: number;
}

/** What the VM may send now. */
export interface SlowStartLimit {
  /** Requests a second of all VMs together. */
  readonly perSecond: number;
  /** Requests of this VM that may be in flight. */
  readonly inFlightCount: number;
}

const SETBACK_STEPS = { late: 1, refused: 1, broke: 2 } as const;

/** Begins a slow start. */
export function beginSlowStart(
  { nowMs, vmCount, rank, previous }: SlowStartTime & {
    /** The VM's place in an order of all VMs, from 0. */
    readonly rank: number;
    /** The latest slow start of the same server. */
    readonly previous?: SlowStart | undefined;
  },
): SlowStart {
  const isBroken = previous !== undefined &&
    nowMs - previous.startedAtMs < BROKEN_START_MS;
  return {
    raisePeriodMs: isBroken
      ? Math.min(LONGEST_RAISE_PERIOD_MS, 2 * previous.raisePeriodMs)
      : RAISE_PERIOD_MS,
    raiseCount: 0,
    setbackCount: 0,
    startedAtMs: nowMs,
    changedAtMs: nowMs,
    setbackAtMs: -Infinity,
    limitedAtMs: nowMs,
    turnCount: (rank + 1) / vmCount,
    turnSinceMs: rank + 1 === vmCount ? nowMs : undefined,
    updatedAtMs: nowMs,
    isEnded: false,
  };
}

/** The limit of the current stage. */
export function slowStartLimit(
  state: SlowStartStage,
  { vmCount, holdMs }: {
    readonly vmCount: number;
    /** How long a request is in flight at the other servers. */
    readonly holdMs: number;
  },
): SlowStartLimit {
  const perSecond = perSecondOf(state);
  const longestMs = HOLD_FACTOR * Math.max(LEAST_HOLD_MS, holdMs);
  const sumCount = perSecond * longestMs / SECOND_MS;
  const inFlightCount = Math.max(1, Math.ceil(sumCount / vmCount));
  return { perSecond, inFlightCount };
}

/** Whether this VM has a turn. */
export function hasTurn({ turnCount }: SlowStart): boolean {
  return turnCount >= 1;
}

/** Whether an answer is late compared with the other servers. */
export function isLateAnswer(answerMs: number, expectedMs: number): boolean {
  return answerMs > LATE_FACTOR * expectedMs + LATE_MARGIN_MS;
}

/** Returns the state at a time: with the turns gained, and ended in time. */
export function advanceSlowStart(
  state: SlowStart,
  { nowMs, vmCount }: SlowStartTime,
): SlowStart {
  if (state.isEnded) return state;
  if (nowMs - state.startedAtMs >= MAX_DURATION_MS) {
    return { ...state, isEnded: true };
  }
  const perMs = perSecondOf(state) / vmCount / SECOND_MS;
  const hasLapsed = state.turnSinceMs !== undefined &&
    nowMs - state.turnSinceMs >= TURN_MS;
  const fromMs = hasLapsed
    ? Math.max(state.updatedAtMs, (state.turnSinceMs ?? 0) + TURN_MS)
    : state.updatedAtMs;
  const before = hasLapsed ? 0 : state.turnCount;
  const turnCount = Math.min(
    Math.max(1, perMs * BURST_MS),
    before + perMs * Math.max(0, nowMs - fromMs),
  );
  const turnSinceMs = turnCount < 1
    ? undefined
    : hasLapsed
    ? nowMs
    : state.turnSinceMs ?? nowMs;
  return { ...state, turnCount, turnSinceMs, updatedAtMs: nowMs };
}

/** Returns the state after an event. */
export function applySlowStart(
  before: SlowStart,
  event: SlowStartEvent,
  time: SlowStartTime,
): SlowStart {
  const state = advanceSlowStart(before, time);
  const { nowMs } = time;
  if (state.isEnded) return state;
  if (event.kind === "limited") return { ...state, limitedAtMs: nowMs };
  if (event.kind === "started") return takeTurn(state);
  const { kind, sentAtMs } = event;
  if (kind === "in_time") return applyInTime(state, { sentAtMs, ...time });
  // Requests sent before the rate was lowered say nothing of the new one.
  if (sentAtMs < state.setbackAtMs) return state;
  const steps = Math.min(SETBACK_STEPS[kind], stageOf(state));
  return {
    ...state,
    setbackCount: state.setbackCount + steps,
    setbackAtMs: nowMs,
    changedAtMs: nowMs,
  };
}

/** Returns the state joined with what another VM knows. */
export function joinSlowStart(
  state: SlowStart,
  other: SlowStartStage,
  time: SlowStartTime,
): SlowStart {
  const current = advanceSlowStart(state, time);
  const raiseCount = Math.max(current.raiseCount, other.raiseCount);
  const setbackCount = Math.max(current.setbackCount, other.setbackCount);
  const isSetback = setbackCount > current.setbackCount;
  if (!isSetback && raiseCount === current.raiseCount) return current;
  const joined = { raiseCount, setbackCount };
  return {
    ...current,
    ...joined,
    changedAtMs: time.nowMs,
    setbackAtMs: isSetback ? time.nowMs : current.setbackAtMs,
    isEnded: current.isEnded || stageOf(joined) >= LAST_STAGE,
  };
}

function applyInTime(
  state: SlowStart,
  { sentAtMs, nowMs, vmCount }: SlowStartTime & { readonly sentAtMs: number },
): SlowStart {
  const stage = stageOf(state);
  const isUnused = stage > 0 && nowMs - state.limitedAtMs >= UNUSED_MS;
  if (isUnused) return { ...state, isEnded: true };
  if (sentAtMs < state.changedAtMs) return state;
  const isCautious = state.raisePeriodMs > RAISE_PERIOD_MS;
  const steps = vmCount >= MANY_VMS && !isCautious ? 2 : 1;
  if (nowMs - state.changedAtMs < steps * state.raisePeriodMs) return state;
  if (nowMs - state.setbackAtMs < SETBACK_HOLD_MS) return state;
  const nextStage = stage + steps;
  return {
    ...state,
    raiseCount: state.setbackCount + nextStage,
    changedAtMs: nowMs,
    isEnded: nextStage >= LAST_STAGE,
  };
}

function takeTurn(state: SlowStart): SlowStart {
  // A request without a turn, for lack of another server, costs one turn only.
  const turnCount = Math.max(-1, state.turnCount - 1);
  return {
    ...state,
    turnCount,
    turnSinceMs: turnCount >= 1 ? state.updatedAtMs : undefined,
  };
}

function stageOf({ raiseCount, setbackCount }: SlowStartStage): number {
  return Math.max(0, raiseCount - setbackCount);
}

function perSecondOf(state: SlowStartStage): number {
  return FIRST_PER_SECOND * 2 ** Math.min(LAST_STAGE, stageOf(state));
}
