// Plain JavaScript has no return types.
// deno-lint-ignore-file explicit-function-return-type
/**
 * A stand-in of the platform's store: keyed topics with one partition, with
 * `log-newest`, `log-read` (long poll) and conditional `log-append`.
 */
import { createServer } from "node:http";
import { once } from "node:events";
import { HOST } from "./host.mjs";

const PAGE_ITEMS = 500;

export class StoreStandin {
  #topics = new Map();
  #waiting = new Set();
  #servers = [];
  /** Called with the name of the address and the path of each call. */
  onCall = () => {};

  /** Listens at one more address, which has a name. */
  async start(name = "store") {
    const server = createServer((request, response) => {
      const chunks = [];
      request.on("data", (chunk) => chunks.push(chunk));
      request.on("error", () => {});
      response.on("error", () => {});
      request.on("end", () => {
        this.onCall(name, request.url);
        this.#answer(request, response, Buffer.concat(chunks));
      });
    });
    this.#servers.push(server);
    server.listen(0, HOST);
    await once(server, "listening");
    return `${HOST}:${server.address().port}`;
  }

  /** Writes a record as the operator or a worker does; returns its offset. */
  put(topic, key, value) {
    const bytes = value === undefined
      ? Buffer.alloc(0)
      : Buffer.from(JSON.stringify(value));
    return this.#append(topic, key, bytes);
  }

  /** The newest value of a key. */
  get(topic, key) {
    const record = this.#recordsOf(topic).findLast((one) => one.key === key);
    if (record === undefined || record.value.length === 0) return undefined;
    return JSON.parse(record.value.toString());
  }

  close() {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
    for (const poll of this.#waiting) clearTimeout(poll.timer);
  }

  #recordsOf(topic) {
    let records = this.#topics.get(topic);
    if (records === undefined) this.#topics.set(topic, records = []);
    return records;
  }

  #append(topic, key, value) {
    const records = this.#recordsOf(topic);
    records.push({ key, value });
    for (const poll of [...this.#waiting]) {
      if (poll.topic === topic) poll.finish();
    }
    return records.length - 1;
  }

  #answer(request, response, body) {
    const url = new URL(request.url, "http://store");
    const topic = url.searchParams.get("topic") ?? "";
    const records = this.#recordsOf(topic);
    if (url.pathname === "/-/log-newest") {
      const after = url.searchParams.get("after") ?? "";
      const newest = new Map();
      records.forEach(({ key, value }, offset) =>
        newest.set(key, { key, value: value.toString("base64"), offset })
      );
      const items = [...newest.values()].filter(({ key, value }) =>
        value !== "" && key > after
      ).sort((a, b) => a.key < b.key ? -1 : 1);
      return sendJson(response, 200, {
        items: items.slice(0, PAGE_ITEMS),
        hasMore: items.length > PAGE_ITEMS,
        end: records.length,
      });
    }
    if (url.pathname === "/-/log-read") {
      const from = Number(url.searchParams.get("from"));
      const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
      const finish = () => {
        this.#waiting.delete(poll);
        clearTimeout(poll.timer);
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(records.length), 0);
        const parts = records.slice(from).map(encode);
        response.end(Buffer.concat([head, ...parts]));
      };
      const poll = { topic, finish };
      if (records.length > from || waitMs === 0) return finish();
      poll.timer = setTimeout(finish, waitMs);
      this.#waiting.add(poll);
      return;
    }
    if (url.pathname === "/-/log-append") {
      const at = url.searchParams.get("at");
      if (at !== null && Number(at) !== records.length) {
        return sendJson(response, 412, { end: records.length });
      }
      const keyLength = body[4];
      const key = body.subarray(5, 5 + keyLength).toString();
      const end = 4 + body.readUInt32BE(0);
      const offset = this.#append(
        topic,
        key,
        body.subarray(5 + keyLength, end),
      );
      return sendJson(response, 200, { offset, end: records.length });
    }
    sendJson(response, 404, {});
  }
}

function encode({ key, value }) {
  const name = Buffer.from(key);
  const head = Buffer.alloc(5);
  head.writeUInt32BE(1 + name.length + value.length, 0);
  head.writeUInt8(name.length, 4);
  return Buffer.concat([head, name, value]);
}

function sendJson(response, status, value) {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}
