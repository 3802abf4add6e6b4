/**
 * Decided edits of the settings tree and the rule by which racing editors get
 * one winner. An edit conflicts with an accepted one that came after the
 * revision it was made against and that stands at the same path, or at a path
 * above or below with a setting in common. Only the newest edits are kept; one
 * made against a revision older than those is refused as a conflict, since
 * what it conflicts with may be forgotten.
 */
import { List, Map as PersistentMap } from "immutable";
import {
  lineageOf,
  type SettingName,
  type SettingsPath,
} from "../model/mod.ts";
import { type Position, START_POSITION } from "./position.ts";
import { type RecordOf } from "./record.ts";

/** How many decided edits are kept. */
export const MAX_DECIDED_EDITS = 2000;

/** How replay decided one edit. */
export interface DecidedEdit {
  readonly position: Position;
  readonly edit: RecordOf<"edit">;
  readonly verdict: "accepted" | "conflict" | "invalid";
  /** The position of the edit that won, for a conflict. */
  readonly wonBy: Position | undefined;
  /** The broken rule, for a conflict or an invalid edit. */
  readonly reason: string;
}

/** Why an edit cannot be accepted. */
export interface EditConflict {
  readonly wonBy: Position;
  readonly reason: string;
}

type EditIndex = PersistentMap<string, DecidedEdit>;

interface HistoryFields {
  readonly decided: List<DecidedEdit>;
  readonly evictedTo: Position;
  readonly byId: EditIndex;
  /** Newest accepted edit by path, and by path and setting. */
  readonly newestAt: EditIndex;
  /** Newest accepted edit at or below a path, by path and setting. */
  readonly newestAtOrBelow: EditIndex;
  readonly limit: number;
}

/** An immutable history of decided edits. */
export class EditHistory {
  readonly #fields: HistoryFields;

  private constructor(fields: HistoryFields) {
    this.#fields = fields;
  }

  /** No edits; `limit` bounds how many are kept. */
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

  /** A history of these edits, of which all up to `forgottenTo` are gone. */
  static of(
    decided: readonly DecidedEdit[],
    forgottenTo: Position,
  ): EditHistory {
    let history = new EditHistory({
      ...EditHistory.create().#fields,
      evictedTo: forgottenTo,
    });
    for (const edit of decided) history = history.push(edit);
    return history;
  }

  /** Decided edits, oldest first. */
  get decided(): List<DecidedEdit> {
    return this.#fields.decided;
  }

  /** Position of the newest accepted edit that is no longer kept. */
  get evictedTo(): Position {
    return this.#fields.evictedTo;
  }

  /** The decided edit with this id. */
  find(id: string): DecidedEdit | undefined {
    return this.#fields.byId.get(id);
  }

  /** The newest accepted edit that an edit conflicts with. */
  conflictOf(edit: RecordOf<"edit">): EditConflict | undefined {
    const { evictedTo: forgottenTo } = this.#fields;
    if (edit.base < forgottenTo) {
      const reason = `revision ${edit.base} is older than the history kept`;
      return { wonBy: forgottenTo, reason };
    }
    const winner = this.#winnerOver(edit);
    if (winner === undefined) return undefined;
    const reason = `${winner.edit.path} was edited since revision ${edit.base}`;
    return { wonBy: winner.position, reason };
  }

  /** The history with one more decided edit. */
  push(edit: DecidedEdit): EditHistory {
    const fields = {
      ...this.#fields,
      decided: this.#fields.decided.push(edit),
      byId: this.#fields.byId.set(edit.edit.id, edit),
    };
    const next = edit.verdict === "accepted" ? indexed(fields, edit) : fields;
    return new EditHistory(trimmed(next));
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
    const { newestAt: at, newestAtOrBelow: below } = this.#fields;
    yield at.get(edit.path);
    for (const name of namesOf(edit)) {
      yield below.get(indexKey(edit.path, name));
      for (const path of lineageOf(edit.path)) {
        yield at.get(indexKey(path, name));
      }
    }
  }
}

function indexed(fields: HistoryFields, edit: DecidedEdit): HistoryFields {
  const at = fields.newestAt.withMutations((index) => {
    for (const key of keysAt(edit)) index.set(key, edit);
  });
  const below = fields.newestAtOrBelow.withMutations((index) => {
    for (const key of keysBelow(edit)) index.set(key, edit);
  });
  return { ...fields, newestAt: at, newestAtOrBelow: below };
}

function trimmed(fields: HistoryFields): HistoryFields {
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
      ? without(fields.newestAtOrBelow, keysBelow(oldest), oldest)
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

function keysBelow({ edit }: DecidedEdit): string[] {
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
