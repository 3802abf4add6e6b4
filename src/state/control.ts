/**
 * The control state: settings tree, leases, roll-outs, quality ratings, burn
 * counts and spending, derived by replay of the control stream. `apply` is pure
 * and deterministic, so VMs that have read the same records have equal states.
 */
import { type List, type Map as PersistentMap } from "immutable";
import { SettingsTree } from "../model/mod.ts";
import { BoundedMap } from "./bounded_map.ts";
import { type DecidedEdit, EditHistory } from "./edit_history.ts";
import { type Position, positionOf, START_POSITION } from "./position.ts";
import { type LogEntry, type RecordOf } from "./record.ts";

/** The current state of a lease. */
export interface Lease {
  readonly name: string;
  readonly holder: string;
  readonly ttlMs: number;
  /** Fencing number: the position of the acquisition, unchanged by renewals. */
  readonly fence: Position;
  /** Position of the latest acquisition, renewal or release. */
  readonly position: Position;
  readonly isReleased: boolean;
}

/** The latest step of a roll-out and its position. */
export interface RolloutProgress {
  readonly position: Position;
  readonly step: RecordOf<"rollout_step">;
}

/** Sizes of the control state's maps, which must be equal on every VM. */
export const CONTROL_LIMITS = {
  leases: 10_000,
  rollouts: 1000,
  quality: 10_000,
  burn: 20_000,
  spends: 10_000,
} as const;

/** Contents of a {@link ControlState}. */
export interface ControlFields {
  readonly revision: Position;
  readonly position: Position;
  readonly tree: SettingsTree;
  readonly edits: EditHistory;
  readonly leases: BoundedMap<string, Lease>;
  readonly rollouts: BoundedMap<string, RolloutProgress>;
  readonly quality: BoundedMap<string, RecordOf<"quality">>;
  readonly burn: BoundedMap<string, RecordOf<"burn">>;
  readonly spends: BoundedMap<string, RecordOf<"spend">>;
  readonly skippedCount: number;
}

/** An immutable control state. */
export class ControlState {
  /** Contents, for checkpoints. */
  readonly fields: ControlFields;

  private constructor(fields: ControlFields) {
    this.fields = fields;
  }

  /** The state before any record. */
  static readonly empty: ControlState = ControlState.of({
    revision: START_POSITION,
    position: START_POSITION,
    tree: SettingsTree.empty,
    edits: EditHistory.create(),
    leases: BoundedMap.create(CONTROL_LIMITS.leases),
    rollouts: BoundedMap.create(CONTROL_LIMITS.rollouts),
    quality: BoundedMap.create(CONTROL_LIMITS.quality),
    burn: BoundedMap.create(CONTROL_LIMITS.burn),
    spends: BoundedMap.create(CONTROL_LIMITS.spends),
    skippedCount: 0,
  });

  /** Builds a state from its contents. */
  static of(fields: ControlFields): ControlState {
    return new ControlState(fields);
  }

  /** The settings revision in force: position of the latest accepted edit. */
  get revision(): Position {
    return this.fields.revision;
  }

  /** Position of the latest applied record. */
  get position(): Position {
    return this.fields.position;
  }

  /** The settings tree in force. */
  get tree(): SettingsTree {
    return this.fields.tree;
  }

  /** The retained decided edits, oldest first. */
  get history(): List<DecidedEdit> {
    return this.fields.edits.decided;
  }

  /** Leases by name. */
  get leases(): PersistentMap<string, Lease> {
    return this.fields.leases.entries;
  }

  /** Latest step by name of the roll-out. */
  get rollouts(): PersistentMap<string, RolloutProgress> {
    return this.fields.rollouts.entries;
  }

  /** Latest rating sums by `vm version class`. */
  get quality(): PersistentMap<string, RecordOf<"quality">> {
    return this.fields.quality.entries;
  }

  /** Counts of the burn report by `vm workspace class window`. */
  get burn(): PersistentMap<string, RecordOf<"burn">> {
    return this.fields.burn.entries;
  }

  /** Total amount billed, by workspace. */
  get spends(): PersistentMap<string, RecordOf<"spend">> {
    return this.fields.spends.entries;
  }

  /** Number of records that this release could not read. */
  get skippedCount(): number {
    return this.fields.skippedCount;
  }

  /** Returns the state after an entry; ignores records already applied. */
  apply(entry: LogEntry): ControlState {
    let { fields } = this;
    for (const [index, record] of entry.records.entries()) {
      const position = positionOf(entry.offset, index);
      if (position <= fields.position) continue;
      fields = { ...applyRecord(fields, position, record), position };
    }
    return fields === this.fields ? this : new ControlState(fields);
  }

  /** Returns a decided edit by id while the history retains it. */
  editOf(id: string): DecidedEdit | undefined {
    return this.fields.edits.find(id);
  }
}

function applyRecord(
  fields: ControlFields,
  position: Position,
  record: LogEntry["records"][number],
): ControlFields {
  switch (record.kind) {
    case "edit":
      return applyEdit(fields, position, record);
    case "lease":
      return applyLease(fields, position, record);
    case "lease_release":
      return applyRelease(fields, position, record);
    case "rollout_step":
      return applyRolloutStep(fields, position, record);
    case "quality":
      return {
        ...fields,
        quality: fields.quality.set(qualityKeyOf(record), record),
      };
    case "burn":
      return { ...fields, burn: fields.burn.set(burnKeyOf(record), record) };
    case "spend":
      return applySpend(fields, record);
    case "skipped":
      return { ...fields, skippedCount: fields.skippedCount + 1 };
    default:
      return fields;
  }
}

function applyEdit(
  fields: ControlFields,
  position: Position,
  edit: RecordOf<"edit">,
): ControlFields {
  if (fields.edits.find(edit.id) !== undefined) return fields;
  const decided = { position, edit, wonBy: undefined, reason: "" };
  const conflict = fields.edits.conflictOf(edit);
  if (conflict !== undefined) {
    return withDecidedEdit(fields, {
      ...decided,
      ...conflict,
      verdict: "conflict",
    });
  }
  return fields.tree.apply(edit.path, edit.change).match(
    (tree) =>
      withDecidedEdit({ ...fields, tree, revision: position }, {
        ...decided,
        verdict: "accepted",
      }),
    ({ message }) =>
      withDecidedEdit(fields, {
        ...decided,
        verdict: "invalid",
        reason: message,
      }),
  );
}

function withDecidedEdit(
  fields: ControlFields,
  decided: DecidedEdit,
): ControlFields {
  return { ...fields, edits: fields.edits.push(decided) };
}

function applyLease(
  fields: ControlFields,
  position: Position,
  record: RecordOf<"lease">,
): ControlFields {
  const current = fields.leases.get(record.name);
  if ((current?.position ?? START_POSITION) !== record.after) return fields;
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
  return { ...fields, leases: fields.leases.set(record.name, lease) };
}

function applyRelease(
  fields: ControlFields,
  position: Position,
  record: RecordOf<"lease_release">,
): ControlFields {
  const current = fields.leases.get(record.name);
  if (current?.position !== record.after) return fields;
  const lease: Lease = { ...current, position, isReleased: true };
  return { ...fields, leases: fields.leases.set(record.name, lease) };
}

function applyRolloutStep(
  fields: ControlFields,
  position: Position,
  step: RecordOf<"rollout_step">,
): ControlFields {
  const last = fields.rollouts.get(step.rollout)?.position ?? START_POSITION;
  if (last !== step.after) return fields;
  return {
    ...fields,
    rollouts: fields.rollouts.set(step.rollout, { position, step }),
  };
}

function applySpend(
  fields: ControlFields,
  spend: RecordOf<"spend">,
): ControlFields {
  const prior = fields.spends.get(spend.workspace);
  if (prior !== undefined && prior.billCount > spend.billCount) return fields;
  return { ...fields, spends: fields.spends.set(spend.workspace, spend) };
}

function qualityKeyOf(record: RecordOf<"quality">): string {
  return `${record.vm} ${record.version} ${record.requestClass}`;
}

function burnKeyOf(record: RecordOf<"burn">): string {
  const { vm, workspace, requestClass, windowStartMs } = record;
  return `${vm} ${workspace} ${requestClass} ${windowStartMs}`;
}
