/**
 * Graceful shutdown as a pure state machine. A VM that is told to stop is first
 * no longer handed out, yet accepts until every address handed out before has
 * passed its max age; then it refuses new work, lets all work in progress end,
 * has its records confirmed, and leaves. Being told again changes nothing.
 */

/** The phases, in their order. */
export type ShutdownPhase =
  | "serving"
  | "withdrawn"
  | "refusing"
  | "flushing"
  | "left";

/** Durations of the phases. */
export interface ShutdownOptions {
  /** How long callers keep the addresses that they were handed. */
  readonly entryMaxAgeMs: number;
  /** How long peers may go on handing out an address that was withdrawn. */
  readonly spreadMs: number;
  /** How long records may wait for the log before the VM leaves all the same. */
  readonly flushTimeoutMs: number;
}

/** Where the shutdown stands; immutable. */
export interface ShutdownState {
  readonly options: ShutdownOptions;
  readonly phase: ShutdownPhase;
  /** When the phase began. */
  readonly sinceMs: number;
}

/** What the state machine reacts to. */
export type ShutdownEvent =
  /** The VM was told to stop. */
  | { readonly kind: "terminate" }
  /** What is still to be done; told often enough, also when nothing changed. */
  | {
    readonly kind: "progress";
    /** Requests that run or wait here. */
    readonly openCount: number;
    /** Bills and other records that the log has not confirmed. */
    readonly unconfirmedCount: number;
  };

/** What is to be done. */
export type ShutdownEffect =
  | { readonly kind: "announce"; readonly status: "leaving" | "left" }
  | { readonly kind: "refuse_new_work" }
  | { readonly kind: "flush" }
  /** All connections may be closed; some records were not confirmed. */
  | { readonly kind: "close"; readonly unconfirmedCount: number };

/** The next state and what is to be done. */
export interface ShutdownStep {
  readonly state: ShutdownState;
  readonly effects: readonly ShutdownEffect[];
}

/** A VM that serves. */
export function createShutdown(options: ShutdownOptions): ShutdownState {
  return { options, phase: "serving", sinceMs: 0 };
}

/** Applies one event. */
export function applyShutdown(
  state: ShutdownState,
  event: ShutdownEvent,
  nowMs: number,
): ShutdownStep {
  if (event.kind === "terminate") return terminate(state, nowMs);
  switch (state.phase) {
    case "withdrawn":
      return endWithdrawn(state, nowMs);
    case "refusing":
      return event.openCount > 0 ? stay(state) : enter(state, {
        phase: "flushing",
        nowMs,
        effects: [{ kind: "flush" }],
      });
    case "flushing":
      return endFlushing(state, event.unconfirmedCount, nowMs);
    default:
      return stay(state);
  }
}

/** Whether new requests are taken. */
export function acceptsNewWork(state: ShutdownState): boolean {
  return state.phase === "serving" || state.phase === "withdrawn";
}

function terminate(state: ShutdownState, nowMs: number): ShutdownStep {
  if (state.phase !== "serving") return stay(state);
  return enter(state, {
    phase: "withdrawn",
    nowMs,
    effects: [{ kind: "announce", status: "leaving" }],
  });
}

function endWithdrawn(state: ShutdownState, nowMs: number): ShutdownStep {
  const { entryMaxAgeMs, spreadMs } = state.options;
  if (nowMs - state.sinceMs < entryMaxAgeMs + spreadMs) return stay(state);
  return enter(state, {
    phase: "refusing",
    nowMs,
    effects: [{ kind: "refuse_new_work" }],
  });
}

function endFlushing(
  state: ShutdownState,
  unconfirmedCount: number,
  nowMs: number,
): ShutdownStep {
  const isLate = nowMs - state.sinceMs >= state.options.flushTimeoutMs;
  if (unconfirmedCount > 0 && !isLate) return stay(state);
  return enter(state, {
    phase: "left",
    nowMs,
    effects: [
      { kind: "announce", status: "left" },
      { kind: "close", unconfirmedCount },
    ],
  });
}

function stay(state: ShutdownState): ShutdownStep {
  return { state, effects: [] };
}

function enter(
  state: ShutdownState,
  next: {
    readonly phase: ShutdownPhase;
    readonly nowMs: number;
    readonly effects: readonly ShutdownEffect[];
  },
): ShutdownStep {
  return {
    state: { ...state, phase: next.phase, sinceMs: next.nowMs },
    effects: next.effects,
  };
}
