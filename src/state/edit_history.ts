/**
 * Decided edits of the settings tree and the detection of conflicts between
 * concurrent edits. An edit conflicts with an accepted edit that is newer than
 * its base revision if both have the same path, or if one path is an ancestor
 * of the other and the edits have a setting in common. Only the latest edits
 * are retained. An edit whose base revision is older than these is a conflict,
 * since edits that it conflicts with may have been evicted.
 */
import { List, Map as PersistentMap } from "immutable";
import {
  lineageOf,
  type SettingName,
  type SettingsPath,
} from "../model/mod.ts";
import { type Position, START_POSITION } from "./position.ts";
import { type RecordOf } from "./record.ts";

/** Number of decided edits that are retained. */
export const MAX_DECIDED_EDITS = 2000;

/** An edit and the decision that replay reached about it. */
export interface DecidedEdit {
  readonly position: Position;
  readonly edit: RecordOf<"edit">;
  readonly verdict: "accepted" | "conflict" | "invalid";
  /** For a conflict, the position of the edit that won. */
  readonly wonBy: Position | undefined;
  /** The violated rule of a conflict or invalid edit; otherwise empty. */
  readonly reason: string;
}

/** The accepted edit that rules out another, and an explanation. */
export interface EditConflict {
  readonly wonBy: Position;
  readonly reason: string;
}

type EditIndex = PersistentMap<string, DecidedEdit>;

interface HistoryFields {
  readonly decided: List<DecidedEdit>;
  readonly evictedTo: Position;
  readonly byId: EditIndex;
  /** Latest accepted edit by path, and by path and setting. */
  readonly newestAt: EditIndex;
  /** Latest accepted edit at or below a path, by path and setting. */
  readonly newestAtOrBelow: EditIndex;
  readonly limit: number;
}

/** An immutable history of decided edits. */
export class EditHistory {
  readonly #fields: HistoryFields;

  private constructor(fields: HistoryFields) {
    this.#fields = fields;
  }

  /** Creates an empty history that retains at most `limit` edits. */
  static create(limit = MAX_DECIDED_EDITS): EditHistory {
    return new EditHistory({
      decided: List(),
      evictedTo: START_POSITION,
      byId: PersistentMap(),
      newestAt: PersistentMap(),
      newestAtOrBelow: PersistentMap(),
      limit,
    });
  }

  /** Builds a history from retained edits and the value of `evictedTo`. */
  static of(
    decided: readonly DecidedEdit[],
    evictedTo: Position,
  ): EditHistory {
    let history = new EditHistory({
      ...EditHistory.create().#fields,
      evictedTo,
    });
    for (const edit of decided) history = history.push(edit);
    return history;
  }

  /** The retained decided edits, oldest first. */
  get decided(): List<DecidedEdit> {
    return this.#fields.decided;
  }

  /** Position of the latest accepted edit that has been evicted. */
  get evictedTo(): Position {
    return this.#fields.evictedTo;
  }

  /** Returns a retained edit by id. */
  find(id: string): DecidedEdit | undefined {
    return this.#fields.byId.get(id);
  }

  /** Returns the conflict with the latest accepted edit, if there is one. */
  conflictOf(edit: RecordOf<"edit">): EditConflict | undefined {
    const { evictedTo } = this.#fields;
    if (edit.base < evictedTo) {
      const reason = `revision ${edit.base} is older than the history kept`;
      return { wonBy: evictedTo, reason };
    }
    const winner = this.#winnerOver(edit);
    if (winner === undefined) return undefined;
    const reason = `${winner.edit.path} was edited since revision ${edit.base}`;
    return { wonBy: winner.position, reason };
  }

  /** Returns the history with an edit appended. */
  push(edit: DecidedEdit): EditHistory {
    const fields = {
      ...this.#fields,
      decided: this.#fields.decided.push(edit),
      byId: this.#fields.byId.set(edit.edit.id, edit),
    };
    const next = edit.verdict === "accepted"
      ? withIndexes(fields, edit)
      : fields;
    return new EditHistory(evictOldest(next));
  }

  #winnerOver(edit: RecordOf<"edit">): DecidedEdit | undefined {
    let winner: DecidedEdit | undefined;
    for (const candidate of this.#candidates(edit)) {
      if (candidate === undefined || candidate.position <= edit.base) continue;
      if (winner !== undefined && candidate.position < winner.position) {
        continue;
      }
      winner = candidate;
    }
    return winner;
  }

  *#candidates(
    edit: RecordOf<"edit">,
  ): Generator<DecidedEdit | undefined, void> {
    const { newestAt, newestAtOrBelow } = this.#fields;
    yield newestAt.get(edit.path);
    for (const name of namesOf(edit)) {
      yield newestAtOrBelow.get(indexKey(edit.path, name));
      for (const path of lineageOf(edit.path)) {
        yield newestAt.get(indexKey(path, name));
      }
    }
  }
}

function withIndexes(fields: HistoryFields, edit: DecidedEdit): HistoryFields {
  const newestAt = fields.newestAt.withMutations((index) => {
    for (const key of keysAt(edit)) index.set(key, edit);
  });
  const newestAtOrBelow = fields.newestAtOrBelow.withMutations((index) => {
    for (const key of keysAtOrBelow(edit)) index.set(key, edit);
  });
  return { ...fields, newestAt, newestAtOrBelow };
}

function evictOldest(fields: HistoryFields): HistoryFields {
  if (fields.decided.size <= fields.limit) return fields;
  const oldest = fields.decided.first();
  if (oldest === undefined) return fields;
  const isAccepted = oldest.verdict === "accepted";
  return {
    ...fields,
    decided: fields.decided.shift(),
    evictedTo: isAccepted ? oldest.position : fields.evictedTo,
    byId: without(fields.byId, [oldest.edit.id], oldest),
    newestAt: isAccepted
      ? without(fields.newestAt, keysAt(oldest), oldest)
      : fields.newestAt,
    newestAtOrBelow: isAccepted
      ? without(fields.newestAtOrBelow, keysAtOrBelow(oldest), oldest)
      : fields.newestAtOrBelow,
  };
}

function without(
  index: EditIndex,
  keys: readonly string[],
  edit: DecidedEdit,
): EditIndex {
  return index.withMutations((draft) => {
    for (const key of keys) {
      if (draft.get(key) === edit) draft.delete(key);
    }
  });
}

function keysAt({ edit }: DecidedEdit): string[] {
  const names = namesOf(edit).map((name) => indexKey(edit.path, name));
  return [edit.path, ...names];
}

function keysAtOrBelow({ edit }: DecidedEdit): string[] {
  return lineageOf(edit.path).flatMap((path) =>
    namesOf(edit).map((name) => indexKey(path, name))
  );
}

function namesOf(edit: RecordOf<"edit">): SettingName[] {
  const set = Object.keys(edit.change.set) as SettingName[];
  return [...set, ...edit.change.clear];
}

function indexKey(path: SettingsPath, name: SettingName): string {
  return `${path} ${name}`;
}
