/** Tests of conflicts between concurrent edits and of repeated replay. */
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { isSameLineage, type SettingsPath } from "../model/mod.ts";
import { ControlState } from "./control.ts";
import { type DecidedEdit, EditHistory } from "./edit_history.ts";
import { positionOf } from "./position.ts";
import { type LogEntry, type RecordOf } from "./record.ts";
import { controlCodec } from "./state_codec.ts";

const SEED = 20_261_203;
const PATHS: SettingsPath[] = ["/", "/a", "/a/b", "/a/b/c", "/a/d", "/e"];
const NAMES = ["maxConcurrent", "fairWeight"] as const;

interface Draft {
  readonly path: SettingsPath;
  readonly name: (typeof NAMES)[number];
  /** Number of records that the editor's base revision is behind. */
  readonly lag: number;
}

const draftArbitrary = fc.record({
  path: fc.constantFrom(...PATHS),
  name: fc.constantFrom(...NAMES),
  lag: fc.nat({ max: 6 }),
});

/** A log of edits in batches of random size. */
const logArbitrary = fc.array(
  fc.array(draftArbitrary, { minLength: 1, maxLength: 3 }),
  { minLength: 1, maxLength: 6 },
).map(logOf);

function logOf(batches: Draft[][]): LogEntry[] {
  const positions: number[] = [];
  return batches.map((drafts, offset) => ({
    offset,
    records: drafts.map((draft, index) => {
      const base = positions.at(-1 - draft.lag) ?? 0;
      positions.push(positionOf(offset, index));
      return editOf(draft, { id: `e${positions.length}`, base });
    }),
  }));
}

function editOf(
  draft: Draft,
  options: { readonly id: string; readonly base: number },
): RecordOf<"edit"> {
  const { path, name } = draft;
  const change = { set: { [name]: 1 }, clear: [] };
  return { kind: "edit", path, change, author: "a", note: "", ...options };
}

function replay(entries: readonly LogEntry[]): ControlState {
  let state = ControlState.empty;
  for (const entry of entries) state = state.apply(entry);
  return state;
}

/** Reference implementation: compares with every accepted edit. */
function winnerBySearch(
  decided: readonly DecidedEdit[],
  edit: RecordOf<"edit">,
): number | undefined {
  for (const earlier of decided.toReversed()) {
    if (earlier.verdict !== "accepted" || earlier.position <= edit.base) {
      continue;
    }
    const [name] = Object.keys(edit.change.set);
    const isSameName = Object.hasOwn(earlier.edit.change.set, name ?? "");
    const isLineage = isSameLineage(earlier.edit.path, edit.path);
    if (earlier.edit.path === edit.path || (isLineage && isSameName)) {
      return earlier.position;
    }
  }
  return undefined;
}

test("replay decides edits like a search of all accepted edits", () => {
  fc.assert(
    fc.property(logArbitrary, (log) => {
      const { history } = replay(log);
      for (const [index, decided] of history.entries()) {
        const before = history.toArray().slice(0, index);
        assert.equal(decided.wonBy, winnerBySearch(before, decided.edit));
        assert.equal(
          decided.verdict === "conflict",
          decided.wonBy !== undefined,
        );
      }
    }),
    { seed: SEED, numRuns: 2000 },
  );
});

test("duplicate and reordered entries change nothing", () => {
  fc.assert(
    fc.property(logArbitrary, fc.array(fc.nat(20)), (log, duplicates) => {
      let state = ControlState.empty;
      for (const [index, entry] of log.entries()) {
        state = state.apply(entry);
        const duplicate = log[(duplicates[index] ?? 0) % (index + 1)];
        if (duplicate !== undefined) state = state.apply(duplicate);
      }
      assert.equal(
        controlCodec.encode(state),
        controlCodec.encode(replay(log)),
      );
    }),
    { seed: SEED, numRuns: 500 },
  );
});

test("an edit appended twice is decided once", () => {
  fc.assert(
    fc.property(logArbitrary, (log) => {
      const offset = log.length;
      const twice = [
        ...log,
        ...log.map((entry, index) => ({
          ...entry,
          offset: offset + index,
        })),
      ];
      const once = replay(log);
      assert.deepEqual(replay(twice).history, once.history);
      assert.deepEqual(replay(twice).tree.toJson(), once.tree.toJson());
    }),
    { seed: SEED, numRuns: 500 },
  );
});

test("one of several edits of the same revision wins, in any order", () => {
  const drafts: Draft[] = [
    { path: "/a", name: "maxConcurrent", lag: 0 },
    { path: "/a/b", name: "maxConcurrent", lag: 0 },
    { path: "/", name: "maxConcurrent", lag: 0 },
  ];
  for (const order of permutations([0, 1, 2, 0])) {
    const log = order.map((editor, offset): LogEntry => {
      const draft = drafts[editor] as Draft;
      return {
        offset,
        records: [editOf(draft, { id: `e${editor}`, base: 0 })],
      };
    });
    const verdicts = replay(log).history.map((decided) => decided.verdict);
    assert.deepEqual(verdicts.toArray(), ["accepted", "conflict", "conflict"]);
  }
});

test("an edit based on an evicted revision is a conflict", () => {
  const draft: Draft = { path: "/a", name: "maxConcurrent", lag: 0 };
  let history = EditHistory.create(2);
  for (let position = 1; position <= 3; position += 1) {
    const edit = editOf(draft, { id: `e${position}`, base: position - 1 });
    const verdict = "accepted";
    history = history.push({
      position,
      edit,
      verdict,
      wonBy: undefined,
      reason: "",
    });
  }
  const other: Draft = { path: "/e", name: "fairWeight", lag: 0 };
  const late = history.conflictOf(editOf(other, { id: "late", base: 0 }));
  assert.equal(late?.wonBy, 1);
  const fresh = history.conflictOf(editOf(other, { id: "fresh", base: 1 }));
  assert.equal(fresh, undefined);
});

function permutations(items: readonly number[]): number[][] {
  if (items.length <= 1) return [[...items]];
  return items.flatMap((item, index) =>
    permutations(items.toSpliced(index, 1)).map((rest) => [item, ...rest])
  );
}
