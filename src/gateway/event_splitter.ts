/**
 * Splits a stream of server-sent events into whole events, byte for byte, so
 * that a broken connection never leaves half an event with a caller.
 */

/** One whole event, its blank line included. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** The event's number; absent where it has no numeric id. */
  readonly id: number | undefined;
}

/** An event longer than this is passed on as it is, in pieces. */
export const MAX_EVENT_BYTES = 1024 * 1024;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_PATTERN = /(?:^|\n)id: ?(\d{1,15})\r?\n/;

/** Gathers bytes into events. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** The events that are whole with these bytes. */
  push(chunk: Buffer): StreamEvent[] {
    const bytes = this.#rest.length === 0
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    let searchFrom = Math.max(0, this.#rest.length - 3);
    for (;;) {
      const end = endOfEvent(bytes, Math.max(start, searchFrom));
      if (end === undefined) break;
      events.push(eventOf(bytes.subarray(start, end)));
      start = end;
      searchFrom = end;
    }
    this.#rest = bytes.subarray(start);
    return events;
  }

  /** Bytes of an event that is not whole yet. */
  get remainder(): Buffer {
    return this.#rest;
  }
}

function eventOf(bytes: Buffer): StreamEvent {
  const id = ID_PATTERN.exec(bytes.toString("latin1"))?.[1];
  return { bytes, id: id === undefined ? undefined : Number(id) };
}

/** The index after the next blank line. */
function endOfEvent(bytes: Buffer, from: number): number | undefined {
  let at = bytes.indexOf(LINE_FEED, from);
  while (at >= 0) {
    const next = bytes[at + 1];
    if (next === LINE_FEED) return at + 2;
    if (next === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3;
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return undefined;
}
