/**
 * Incremental parser of server-sent events. An event longer than the limit
 * throws an error.
 */
import { StringDecoder } from "node:string_decoder";

/** Maximum length of an event, in characters. */
export const MAX_EVENT_LENGTH = 1_048_576;

/** A stream of events violates the protocol. */
export class EventStreamError extends Error {
  override readonly name = "EventStreamError";
}

/** Buffers chunks of bytes and returns the events that they complete. */
export class EventReader {
  readonly #decoder = new StringDecoder("utf8");
  #partialLine = "";
  #data: string[] = [];
  #dataLength = 0;

  /** Returns the data of the events that `chunk` completes, in order. */
  push(chunk: Uint8Array): string[] {
    const lines = (this.#partialLine + this.#decoder.write(chunk)).split("\n");
    this.#partialLine = lines.pop() ?? "";
    const events: string[] = [];
    for (const line of lines) this.#readLine(line, events);
    if (this.#partialLine.length + this.#dataLength > MAX_EVENT_LENGTH) {
      throw new EventStreamError("an event exceeds the maximum length");
    }
    return events;
  }

  #readLine(line: string, events: string[]): void {
    const text = line.endsWith("\r") ? line.slice(0, -1) : line;
    if (text.startsWith("data:")) {
      const data = text.slice(text[5] === " " ? 6 : 5);
      this.#data.push(data);
      this.#dataLength += data.length + 1;
      return;
    }
    if (text !== "" || this.#data.length === 0) return;
    events.push(this.#data.join("\n"));
    this.#data = [];
    this.#dataLength = 0;
  }
}
