/**
 * Splits a stream of server-sent events into complete events without changing
 * their bytes, so that a caller never gets part of an event when a connection
 * breaks.
 */

/**
 * One complete event, including its blank line, and blank lines and comments
 * before it: by themselves these are no event.
 */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** The event's number; `undefined` where it has no numeric id. */
  readonly id: number | undefined;
}

/** Limit of the bytes buffered of an incomplete event; more end the attempt. */
export const MAX_EVENT_BYTES = 128 * 1024;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const FIELD_PATTERN = /(?:^|[\r\n])[^:\r\n]/;
const ID_PATTERN = /(?:^|\n)id: ?(\d{1,15})\r?\n/;

/** Collects bytes into complete events. */
export class EventSplitter {
  #remainder: Buffer = Buffer.alloc(0);
  /** Length of the blank lines and comments at the start of the remainder. */
  #emptyLength = 0;

  /** Adds bytes and returns the events that they complete. */
  push(chunk: Buffer): StreamEvent[] {
    const bytes = this.#remainder.length === 0
      ? chunk
      : Buffer.concat([this.#remainder, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    let blockStart = this.#emptyLength;
    let searchFrom = Math.max(blockStart, this.#remainder.length - 3);
    for (;;) {
      const end = endOfEvent(bytes, searchFrom);
      if (end === undefined) break;
      if (hasField(bytes.subarray(blockStart, end))) {
        events.push(eventOf(bytes.subarray(start, end)));
        start = end;
      }
      blockStart = end;
      searchFrom = end;
    }
    this.#remainder = bytes.subarray(start);
    this.#emptyLength = blockStart - start;
    return events;
  }

  /** Whether the bytes so far end with part of an event. */
  get isInsideEvent(): boolean {
    return hasField(this.#remainder.subarray(this.#emptyLength));
  }

  /** Bytes of the last, still incomplete event. */
  get remainder(): Buffer {
    return this.#remainder;
  }
}

function eventOf(bytes: Buffer): StreamEvent {
  const id = ID_PATTERN.exec(bytes.toString("latin1"))?.[1];
  return { bytes, id: id === undefined ? undefined : Number(id) };
}

/** Whether a block has a line that is neither blank nor a comment. */
function hasField(block: Buffer): boolean {
  return FIELD_PATTERN.test(block.toString("latin1"));
}

/** Returns the index after the next blank line. */
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
