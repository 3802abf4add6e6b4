/** Tests of the choice of store readers: one per place, equal in all views. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  chooseStoreReaders,
  type StoreReaderCandidate,
} from "./store_reader.ts";

const PLACES = ["khomas-a", "erongo-a", "oshana-a"];

function membersOf(count: number): StoreReaderCandidate[] {
  return Array.from({ length: count }, (_, index) => ({
    vm: `vm-${index}`,
    place: PLACES[index % PLACES.length] ?? "",
  }));
}

test("each place has one store reader, in any order of the members", () => {
  const members = membersOf(90);
  const readers = chooseStoreReaders(members);
  assert.deepEqual(
    readers.map(({ place }) => place).sort(),
    [...PLACES].sort(),
  );
  assert.deepEqual(chooseStoreReaders([...members].reverse()), readers);
});

test("a removed store reader is replaced in its place, the others stay", () => {
  const members = membersOf(90);
  const readers = chooseStoreReaders(members);
  for (const removed of readers) {
    const remaining = members.filter(({ vm }) => vm !== removed.vm);
    const next = chooseStoreReaders(remaining);
    assert.equal(next.length, readers.length);
    for (const reader of readers) {
      if (reader !== removed) assert.ok(next.includes(reader));
    }
  }
});

test("ranks do not depend on members that are not store readers", () => {
  const readers = chooseStoreReaders(membersOf(90));
  assert.deepEqual(chooseStoreReaders(readers), readers);
});

test("without members there is no store reader", () => {
  assert.deepEqual(chooseStoreReaders([]), []);
});
