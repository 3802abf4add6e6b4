/** Hashes and seeded random numbers, so that stand-ins are deterministic. */

const FNV_OFFSET = 2_166_136_261;
const FNV_PRIME = 16_777_619;
const RANGE = 4_294_967_296;

/** Returns a 32-bit hash of a text (FNV-1a with a final mix). */
export function hash32(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return mix(hash);
}

/** Creates a seeded generator of uniform numbers in [0, 1). */
export function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x9e3779b9) >>> 0;
    return mix(state) / RANGE;
  };
}

function mix(value: number): number {
  let mixed = value ^ (value >>> 16);
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
