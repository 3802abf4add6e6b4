/**
 * The control state: settings tree, leases, roll-outs and quality figures, by
 * replay of the control stream. `apply` is pure and deterministic, so every VM
 * that has read the same records holds the same state.
 */
import { List, Map as PersistentMap } from "immutable";
import { isSameLineage, type SettingName, SettingsTree } from "../model/mod.ts";
import { type Position, positionOf, START_POSITION } from "./position.ts";
import { type LogEntry, type LogRecord, type RecordOf } from "./record.ts";

/** How many decided edits are kept for `history` and for conflict checks. */
export const MAX_HISTORY = 2000;

/** How replay decided one edit. */
export interface DecidedEdit {
  readonly position: Position;
  readonly edit: RecordOf<"edit">;
  readonly verdict: "accepted" | "conflict" | "invalid";
  /** The position of the edit that won, for a conflict. */
  readonly wonBy: Position | undefined;
  /** The broken rule, for an invalid edit. */
  readonly reason: string;
}

/** A lease as acquired; its position is the fencing number. */
export interface Lease {
  readonly name: string;
  readonly holder: string;
  readonly ttlMs: number;
  /** Position of the acquisition; renewals keep it. */
  readonly fence: Position;
  /** Position of the newest acquisition, renewal or release. */
  readonly position: Position;
  readonly isReleased: boolean;
}

/** The newest step of a roll-out. */
export interface RolloutProgress {
  readonly position: Position;
  readonly step: RecordOf<"rollout_step">;
}

interface ControlFields {
  readonly revision: Position;
  readonly position: Position;
  readonly tree: SettingsTree;
  readonly history: List<DecidedEdit>;
  readonly leases: PersistentMap<string, Lease>;
  readonly rollouts: PersistentMap<string, RolloutProgress>;
  readonly quality: PersistentMap<string, RecordOf<"quality">>;
  readonly burn: PersistentMap<string, RecordOf<"burn">>;
  readonly skippedCount: number;
}

/** An immutable control state. */
export class ControlState implements ControlFields {
  /** Position of the newest accepted edit: the revision in force. */
  readonly revision: Position;
  /** Position of the newest record applied. */
  readonly position: Position;
  readonly tree: SettingsTree;
  /** Decided edits, oldest first, the newest {@link MAX_HISTORY}. */
  readonly history: List<DecidedEdit>;
  readonly leases: PersistentMap<string, Lease>;
  readonly rollouts: PersistentMap<string, RolloutProgress>;
  /** Newest figures by `vm version class`. */
  readonly quality: PersistentMap<string, RecordOf<"quality">>;
  /** Counts of the burn report by `vm workspace class window`. */
  readonly burn: PersistentMap<string, RecordOf<"burn">>;
  readonly skippedCount: number;

  private constructor(fields: ControlFields) {
    this.revision = fields.revision;
    this.position = fields.position;
    this.tree = fields.tree;
    this.history = fields.history;
    this.leases = fields.leases;
    this.rollouts = fields.rollouts;
    this.quality = fields.quality;
    this.burn = fields.burn;
    this.skippedCount = fields.skippedCount;
  }

  /** The state before any record. */
  static readonly empty: ControlState = new ControlState({
    revision: START_POSITION,
    position: START_POSITION,
    tree: SettingsTree.empty,
    history: List(),
    leases: PersistentMap(),
    rollouts: PersistentMap(),
    quality: PersistentMap(),
    burn: PersistentMap(),
    skippedCount: 0,
  });

  /** A state with some fields replaced. */
  with(fields: Partial<ControlFields>): ControlState {
    return new ControlState({ ...this, ...fields });
  }

  /** The state after one log entry; entries at or before it change nothing. */
  apply(entry: LogEntry): ControlState {
    return applyEntry(this, entry);
  }

  /** How the edit with this id was decided, if it is still in the history. */
  editOf(id: string): DecidedEdit | undefined {
    return this.history.findLast((decided) => decided.edit.id === id);
  }
}

function applyEntry(start: ControlState, entry: LogEntry): ControlState {
  let state = start;
  for (const [index, record] of entry.records.entries()) {
    const position = positionOf(entry.offset, index);
    if (position <= state.position) continue;
    state = applyRecord(state, position, record).with({ position });
  }
  return state;
}

function applyRecord(
  state: ControlState,
  position: Position,
  record: LogEntry["records"][number],
): ControlState {
  switch (record.kind) {
    case "edit":
      return applyEdit(state, position, record);
    case "lease":
      return applyLease(state, position, record);
    case "lease_release":
      return applyRelease(state, position, record);
    case "rollout_step":
      return applyRolloutStep(state, position, record);
    case "quality":
      return state.with({ quality: state.quality.set(keyOf(record), record) });
    case "burn":
      return state.with({ burn: state.burn.set(burnKeyOf(record), record) });
    case "skipped":
      return state.with({ skippedCount: state.skippedCount + 1 });
    default:
      return state;
  }
}

function applyEdit(
  state: ControlState,
  position: Position,
  edit: RecordOf<"edit">,
): ControlState {
  if (state.editOf(edit.id) !== undefined) return state;
  const winner = conflictOf(state, edit);
  if (winner !== undefined) {
    return remember(state, {
      position,
      edit,
      verdict: "conflict",
      wonBy: winner.position,
      reason: `${winner.edit.path} was edited since revision ${edit.base}`,
    });
  }
  return state.tree.apply(edit.path, edit.change).match(
    (tree) =>
      remember(state.with({ tree, revision: position }), {
        position,
        edit,
        verdict: "accepted",
        wonBy: undefined,
        reason: "",
      }),
    (error) =>
      remember(state, {
        position,
        edit,
        verdict: "invalid",
        wonBy: undefined,
        reason: error.message,
      }),
  );
}

function remember(state: ControlState, decided: DecidedEdit): ControlState {
  return state.with({
    history: state.history.push(decided).takeLast(MAX_HISTORY),
  });
}

function conflictOf(
  state: ControlState,
  edit: RecordOf<"edit">,
): DecidedEdit | undefined {
  for (const decided of state.history.reverse()) {
    if (decided.position <= edit.base) return undefined;
    if (decided.verdict === "accepted" && isConflict(decided.edit, edit)) {
      return decided;
    }
  }
  return undefined;
}

function isConflict(a: RecordOf<"edit">, b: RecordOf<"edit">): boolean {
  if (a.path === b.path) return true;
  if (!isSameLineage(a.path, b.path)) return false;
  const names = namesOf(a);
  return namesOf(b).some((name) => names.includes(name));
}

function namesOf(edit: RecordOf<"edit">): SettingName[] {
  const set = Object.keys(edit.change.set) as SettingName[];
  return [...set, ...edit.change.clear];
}

function applyLease(
  state: ControlState,
  position: Position,
  record: RecordOf<"lease">,
): ControlState {
  const current = state.leases.get(record.name);
  if ((current?.position ?? START_POSITION) !== record.after) return state;
  const isRenewal = current !== undefined && !current.isReleased &&
    current.holder === record.holder;
  const lease: Lease = {
    name: record.name,
    holder: record.holder,
    ttlMs: record.ttlMs,
    fence: isRenewal ? current.fence : position,
    position,
    isReleased: false,
  };
  return state.with({ leases: state.leases.set(record.name, lease) });
}

function applyRelease(
  state: ControlState,
  position: Position,
  record: RecordOf<"lease_release">,
): ControlState {
  const current = state.leases.get(record.name);
  if (current?.position !== record.after) return state;
  const lease: Lease = { ...current, position, isReleased: true };
  return state.with({ leases: state.leases.set(record.name, lease) });
}

function applyRolloutStep(
  state: ControlState,
  position: Position,
  step: RecordOf<"rollout_step">,
): ControlState {
  const last = state.rollouts.get(step.rollout)?.position ?? START_POSITION;
  if (last !== step.after) return state;
  return state.with({
    rollouts: state.rollouts.set(step.rollout, { position, step }),
  });
}

function keyOf(record: RecordOf<"quality">): string {
  return `${record.vm} ${record.version} ${record.requestClass}`;
}

function burnKeyOf(record: RecordOf<"burn">): string {
  const { vm, workspace, requestClass, windowStartMs } = record;
  return `${vm} ${workspace} ${requestClass} ${windowStartMs}`;
}

/** Whether the control stream carries this record. */
export function isControlRecord(record: LogRecord): boolean {
  return record.kind !== "pin" && record.kind !== "claim" &&
    record.kind !== "outcome" && record.kind !== "bill";
}
