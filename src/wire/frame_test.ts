/** Property tests of frames: chunk boundaries, arbitrary bytes, lengths. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Encoder } from "cbor-x";
import fc from "fast-check";
import { encodeFrame, FrameDecoder } from "./frame.ts";
import { parseHandshake, parsePeerMessage } from "./message.ts";

const SEED = 20_261;
const MAX_BYTES = 4096;

const valueArbitrary = fc.dictionary(
  fc.string({ minLength: 1, maxLength: 8 }).filter((key) =>
    key !== "__proto__"
  ),
  fc.oneof(
    fc.string(),
    fc.boolean(),
    fc.integer({ min: 0, max: Number.MAX_SAFE_INTEGER }),
    fc.array(fc.nat()),
  ),
  { maxKeys: 8, noNullPrototype: true },
);

function decodeAll(decoder: FrameDecoder): unknown[] {
  const values: unknown[] = [];
  while (true) {
    const value = decoder.next()._unsafeUnwrap();
    if (value === undefined) return values;
    values.push(value);
  }
}

function frameOf(body: Uint8Array): Uint8Array {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(body.byteLength, 0);
  return Buffer.concat([header, body]);
}

test("values are decoded from any split into chunks", () => {
  const property = fc.property(
    fc.array(valueArbitrary, { maxLength: 5 }),
    fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }),
    (values, sizes) => {
      const frames = values.map((value) => encodeFrame(value)._unsafeUnwrap());
      const bytes = Buffer.concat(frames);
      const decoder = new FrameDecoder(1 << 16);
      const decoded: unknown[] = [];
      let offset = 0;
      for (let chunkIndex = 0; offset < bytes.byteLength; chunkIndex++) {
        const sizeBytes = sizes[chunkIndex % sizes.length] ?? 1;
        decoder.push(bytes.subarray(offset, offset + sizeBytes));
        decoded.push(...decodeAll(decoder));
        offset += sizeBytes;
      }
      assert.deepEqual(decoded, values);
    },
  );
  fc.assert(property, { seed: SEED });
});

test("arbitrary bytes decode to values or a fault and never throw", () => {
  const property = fc.property(
    fc.array(fc.uint8Array({ minLength: 1, maxLength: 64 }), { maxLength: 20 }),
    (chunks) => {
      const decoder = new FrameDecoder(MAX_BYTES);
      for (const chunk of chunks) {
        decoder.push(chunk);
        while (true) {
          const next = decoder.next();
          if (next.isErr()) return next.error.message.length > 0;
          if (next.value === undefined) break;
        }
      }
      return decoder.bufferedBytes <= MAX_BYTES + 4;
    },
  );
  fc.assert(property, { seed: SEED, numRuns: 2000 });
});

test("an arbitrary body decodes to a message or a frame_malformed fault", () => {
  const property = fc.property(
    fc.uint8Array({ minLength: 1, maxLength: 200 }),
    (body) => {
      const decoder = new FrameDecoder(MAX_BYTES);
      decoder.push(frameOf(body));
      const parsed = decoder.next().andThen(parsePeerMessage);
      return parsed.isOk() || parsed.error.fault === "frame_malformed";
    },
  );
  fc.assert(property, { seed: SEED, numRuns: 5000 });
});

test("a corrupted message decodes to a message or a frame_malformed fault", () => {
  const update = {
    vm: "vm-a",
    place: "dub-a",
    address: "127.0.0.1:1",
    peerAddress: "127.0.0.1:2",
    incarnation: 3,
    status: "alive",
  };
  const message = {
    kind: "probe",
    sequence: 1,
    from: update,
    loadShare: 0.5,
    updates: [update],
  };
  const value = { kind: "membership", position: 1025, ageMs: 1, message };
  assert.equal(parsePeerMessage(value).isOk(), true);
  const body = new Encoder({ useRecords: false }).encode(value);
  const property = fc.property(
    fc.array(fc.tuple(fc.nat(body.byteLength - 1), fc.nat(255)), {
      minLength: 1,
      maxLength: 4,
    }),
    (changes) => {
      const changed = Buffer.from(body);
      for (const [offset, byte] of changes) changed[offset] = byte;
      const decoder = new FrameDecoder(MAX_BYTES);
      decoder.push(frameOf(changed));
      const parsed = decoder.next().andThen(parsePeerMessage);
      return parsed.isOk() || parsed.error.fault === "frame_malformed";
    },
  );
  fc.assert(property, { seed: SEED, numRuns: 5000 });
});

test("an oversize length is a fault before any of the body is buffered", () => {
  const decoder = new FrameDecoder(MAX_BYTES);
  const header = Buffer.alloc(4);
  header.writeUInt32BE(0xffff_ffff, 0);
  decoder.push(header);
  const fault = decoder.next()._unsafeUnwrapErr();
  assert.equal(fault.fault, "frame_too_large");
  assert.match(fault.message, /4294967295 bytes is over the bound of 4096/);
  assert.ok(decoder.bufferedBytes < 100);
});

for (
  const [name, body] of [
    ["an array of 2^32 items", [0x9a, 0xff, 0xff, 0xff, 0xff]],
    ["a map of 2^32 items", [0xba, 0xff, 0xff, 0xff, 0xff]],
    ["arrays nested 4000 deep", Array(4000).fill(0x81)],
    ["a text that ends early", [0x78, 0xff, 0x61]],
    ["a number in place of a message", [0x01]],
  ] as const
) {
  test(`${name} is a malformed frame`, () => {
    const decoder = new FrameDecoder(MAX_BYTES);
    decoder.push(frameOf(Uint8Array.from(body)));
    assert.equal(decoder.next()._unsafeUnwrapErr().fault, "frame_malformed");
  });
}

test("a handshake message with missing fields or a malformed proof is refused", () => {
  for (const value of [{}, { kind: "hello" }, { kind: "proof", proof: "00" }]) {
    assert.equal(
      parseHandshake(value)._unsafeUnwrapErr().fault,
      "frame_malformed",
    );
  }
});
