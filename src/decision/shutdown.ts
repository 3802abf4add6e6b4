/**
 * Graceful shutdown as a pure state machine. After a termination signal the VM
 * is no longer advertised, but accepts requests until every address advertised
 * earlier has passed its max age. Then it refuses new work, waits for work in
 * progress to end and for its records to be confirmed, and leaves. Further
 * termination signals change nothing.
 */

/** The phases, in order. */
export type ShutdownPhase =
  | "serving"
  | "withdrawn"
  | "refusing"
  | "flushing"
  | "left";

/** Durations of the phases. */
export interface ShutdownOptions {
  /** How long callers may cache advertised addresses. */
  readonly entryMaxAgeMs: number;
  /** How long peers may still advertise an address after it was withdrawn. */
  readonly spreadMs: number;
  /** Longest wait for the log to confirm records before the VM leaves. */
  readonly flushTimeoutMs: number;
}

/** The current phase; immutable. */
export interface ShutdownState {
  readonly options: ShutdownOptions;
  readonly phase: ShutdownPhase;
  /** When the phase began; 0 while serving. */
  readonly sinceMs: number;
}

export type ShutdownEvent =
  /** The VM received a termination signal. */
  | { readonly kind: "terminate" }
  /** The remaining work; sent periodically, even when nothing changed. */
  | {
    readonly kind: "progress";
    /** Requests running or queued at this VM. */
    readonly openCount: number;
    /** Bills and other records not confirmed by the log. */
    readonly unconfirmedCount: number;
  };

/** Actions for the caller of the state machine. */
export type ShutdownEffect =
  | { readonly kind: "announce"; readonly status: "leaving" | "left" }
  | { readonly kind: "refuse_new_work" }
  | { readonly kind: "flush" }
  /** Close all connections; `unconfirmedCount` records weren't confirmed. */
  | { readonly kind: "close"; readonly unconfirmedCount: number };

export interface ShutdownStep {
  readonly state: ShutdownState;
  readonly effects: readonly ShutdownEffect[];
}

/** Creates the state of a serving VM. */
export function createShutdown(options: ShutdownOptions): ShutdownState {
  return { options, phase: "serving", sinceMs: 0 };
}

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
      return event.openCount > 0 ? unchanged(state) : enterPhase(state, {
        phase: "flushing",
        nowMs,
        effects: [{ kind: "flush" }],
      });
    case "flushing":
      return endFlushing(state, event.unconfirmedCount, nowMs);
    default:
      return unchanged(state);
  }
}

/** Whether new requests are accepted, also before the phase has changed. */
export function acceptsNewWork(state: ShutdownState, nowMs: number): boolean {
  if (state.phase === "serving") return true;
  return state.phase === "withdrawn" && !isWithdrawalOver(state, nowMs);
}

function terminate(state: ShutdownState, nowMs: number): ShutdownStep {
  if (state.phase !== "serving") return unchanged(state);
  return enterPhase(state, {
    phase: "withdrawn",
    nowMs,
    effects: [{ kind: "announce", status: "leaving" }],
  });
}

function endWithdrawn(state: ShutdownState, nowMs: number): ShutdownStep {
  if (!isWithdrawalOver(state, nowMs)) return unchanged(state);
  return enterPhase(state, {
    phase: "refusing",
    nowMs,
    effects: [{ kind: "refuse_new_work" }],
  });
}

function isWithdrawalOver(state: ShutdownState, nowMs: number): boolean {
  const { entryMaxAgeMs, spreadMs } = state.options;
  return nowMs - state.sinceMs >= entryMaxAgeMs + spreadMs;
}

function endFlushing(
  state: ShutdownState,
  unconfirmedCount: number,
  nowMs: number,
): ShutdownStep {
  const isLate = nowMs - state.sinceMs >= state.options.flushTimeoutMs;
  if (unconfirmedCount > 0 && !isLate) return unchanged(state);
  return enterPhase(state, {
    phase: "left",
    nowMs,
    effects: [
      { kind: "announce", status: "left" },
      { kind: "close", unconfirmedCount },
    ],
  });
}

function unchanged(state: ShutdownState): ShutdownStep {
  return { state, effects: [] };
}

function enterPhase(
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
