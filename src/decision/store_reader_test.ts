/** Tests of who reads the store: one VM a place, the same for all views. */
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

test("each place has one reader, in whatever order members are known", () => {
  const members = membersOf(90);
  const readers = chooseStoreReaders(members);
  assert.deepEqual(
    readers.map(({ place }) => place).sort(),
    [...PLACES].sort(),
  );
  assert.deepEqual(chooseStoreReaders([...members].reverse()), readers);
});

test("without a reader another VM of its place reads, the others go on", () => {
  const members = membersOf(90);
  const readers = chooseStoreReaders(members);
  for (const gone of readers) {
    const left = members.filter(({ vm }) => vm !== gone.vm);
    const next = chooseStoreReaders(left);
    assert.equal(next.length, readers.length);
    for (const reader of readers) {
      if (reader !== gone) assert.ok(next.includes(reader));
    }
  }
});

test("ranks do not change with members that are no readers", () => {
  const readers = chooseStoreReaders(membersOf(90));
  assert.deepEqual(chooseStoreReaders(readers), readers);
});

test("nobody reads where nobody is", () => {
  assert.deepEqual(chooseStoreReaders([]), []);
});
