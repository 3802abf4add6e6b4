/**
 * Reads server-sent events: chunks of bytes in, the data of each event out.
 * An event longer than the bound ends the stream with an error.
 */
import { StringDecoder } from "node:string_decoder";

/** The longest event that is read, in characters. */
export const MAX_EVENT_LENGTH = 1_048_576;

/** A stream of events that breaks the protocol. */
export class EventStreamError extends Error {
  override readonly name = "EventStreamError";
}

/** Collects chunks and gives the events that they complete. */
export class EventReader {
  readonly #decoder = new StringDecoder("utf8");
  #rest = "";
  #data: string[] = [];
  #dataLength = 0;

  /** The data of the events that `chunk` completes, in order. */
  push(chunk: Uint8Array): string[] {
    const lines = (this.#rest + this.#decoder.write(chunk)).split("\n");
    this.#rest = lines.pop() ?? "";
    const events: string[] = [];
    for (const line of lines) this.#readLine(line, events);
    if (this.#rest.length + this.#dataLength > MAX_EVENT_LENGTH) {
      throw new EventStreamError("an event is longer than the bound");
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
