/** Tests of the memory of answers that are held. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { AnswerBuffer } from "./answer_buffer.ts";
import { AnswerMemory, type RequestMemory } from "./answer_memory.ts";
import { VmMemory } from "./vm_memory.ts";

const KIB = 1024;
const MIB = 1024 * KIB;
const CHUNK = Buffer.alloc(16 * KIB);
/** Of which a fifth is used, and three fifths of that for answers: 6.2 MiB. */
const MEMORY_BYTES = 52 * MIB;

interface TestAnswer {
  readonly memory: RequestMemory;
  readonly buffer: AnswerBuffer;
  isPaused: boolean;
}

function answersOf(memoryBytes: number): () => TestAnswer {
  const memory = new AnswerMemory(new VmMemory({ memoryBytes }));
  return () => {
    const request = memory.open("lookups");
    const buffer = new AnswerBuffer(request, {
      onPause: () => answer.isPaused = true,
      onResume: () => answer.isPaused = false,
    });
    const answer: TestAnswer = { memory: request, buffer, isPaused: false };
    return answer;
  };
}

/** Adds parts until the answer pauses or ends; returns its length. */
function fill(answer: TestAnswer, chunk = CHUNK): number {
  let bytes = 0;
  while (!answer.isPaused && answer.buffer.push(chunk)) bytes += chunk.length;
  return bytes;
}

test("answers wait for memory until others are read, the oldest first", () => {
  const open = answersOf(MEMORY_BYTES);
  const answers = [open(), open(), open(), open()];
  for (const { buffer } of answers) assert.ok(buffer.begin(3 * MIB));
  const paused = (): boolean[] => answers.map(({ isPaused }) => isPaused);
  assert.deepEqual(paused(), [false, false, true, true]);
  const [first, second, third] = answers;
  for (let count = 0; count < 3 * 64; count++) first?.buffer.push(CHUNK);
  assert.equal(first?.buffer.concat().length, 3 * MIB);
  // Its caller has not read it.
  assert.deepEqual(paused(), [false, false, true, true]);
  first?.memory.release();
  first?.memory.release();
  assert.deepEqual(paused(), [false, false, false, true]);
  second?.buffer.release();
  third?.memory.release();
  assert.deepEqual(paused(), [false, false, false, false]);
});

// Guards against answers that wait for each other for good.
test("the oldest answer goes on where all wait for more", () => {
  const open = answersOf(MEMORY_BYTES);
  const answers = [open(), open(), open()];
  // All grow alike until no memory is left for the next steps.
  while (answers.every(({ isPaused }) => !isPaused)) {
    for (const { buffer } of answers) assert.ok(buffer.push(CHUNK));
  }
  const [oldest] = answers;
  assert.ok(oldest !== undefined);
  for (const answer of answers) fill(answer);
  assert.deepEqual(answers.map(({ isPaused }) => isPaused), [
    false,
    true,
    true,
  ]);
  oldest.memory.release();
  for (const answer of answers.slice(1)) fill(answer);
  assert.deepEqual(answers.map(({ isPaused }) => isPaused), [
    false,
    false,
    true,
  ]);
});

test("an answer longer than the share goes on alone", () => {
  const open = answersOf(0);
  const answers = [open(), open()];
  for (const { buffer } of answers) assert.ok(buffer.begin(8 * MIB));
  assert.deepEqual(answers.map(({ isPaused }) => isPaused), [false, true]);
  assert.ok(!open().buffer.begin(8 * MIB + 1));
});

test("a short answer has room when others have used up the memory", () => {
  const open = answersOf(0);
  assert.ok(open().buffer.begin(8 * MIB));
  const { buffer } = open();
  for (let count = 0; count < 4; count++) assert.ok(buffer.push(CHUNK));
  assert.ok(!buffer.isWaiting);
  assert.equal(buffer.concat().length, 64 * KIB);
});

test("an answer of very many small parts is refused", () => {
  const part = Buffer.from("more ");
  assert.equal(fill(answersOf(1024 * MIB)(), part), 4096 * part.length);
});

// Guards against requests that run and are lost as their answers wait for memory.
test("requests begin as long as the usual answer has room, and have it", () => {
  const open = answersOf(MEMORY_BYTES);
  const first = open();
  assert.ok(first.memory.begin());
  first.buffer.begin(3 * MIB);
  for (let count = 0; count < 3 * 64; count++) first.buffer.push(CHUNK);
  first.buffer.concat();
  const [second, third] = [open(), open()];
  assert.ok(second.memory.begin());
  assert.ok(!third.memory.begin());
  second.buffer.begin(3 * MIB);
  assert.ok(!second.isPaused);
  first.memory.release();
  assert.ok(third.memory.begin());
});
