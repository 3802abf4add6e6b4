// Plain JavaScript has no return types.
// deno-lint-ignore-file explicit-function-return-type
// A stand-in of the platform's store: a log with the newest record of each key
// in the topics `keyed.*`. It answers the calls that PROTOCOL.md names and that
// the programs make: log-newest, log-read and log-append.
import { createServer } from "node:http";
import { HOST } from "./net.mjs";

const PAGE_SIZE = 500;
const POLL_MS = 5;

export class Store {
  #topics = new Map();
  #http = createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });
  address = "";
  /** Called for each record that one of the programs appends. */
  onAppend = () => {};

  async start() {
    this.#http.keepAliveTimeout = 60_000;
    await new Promise((resolve) => this.#http.listen(0, HOST, resolve));
    this.address = `${HOST}:${this.#http.address().port}`;
  }

  close() {
    this.#http.close();
    this.#http.closeAllConnections();
  }

  /** Writes a value as the operator or a worker does; none drops the key. */
  put(topic, key, value) {
    const bytes = value === undefined
      ? Buffer.alloc(0)
      : Buffer.from(JSON.stringify(value));
    this.#recordsOf(topic).push({ key, value: bytes });
  }

  /** Returns the newest value of a key. */
  get(topic, key) {
    const found = this.#recordsOf(topic).findLast((one) => one.key === key);
    if (found === undefined || found.value.length === 0) return undefined;
    return JSON.parse(found.value.toString());
  }

  #recordsOf(topic) {
    const records = this.#topics.get(topic) ?? [];
    this.#topics.set(topic, records);
    return records;
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const url = new URL(request.url, "http://store");
    const records = this.#recordsOf(url.searchParams.get("topic") ?? "");
    switch (url.pathname) {
      case "/-/log-newest":
        return sendNewest(records, url, response);
      case "/-/log-read":
        return await sendFrom(records, url, response);
      case "/-/log-append":
        return this.#append(records, Buffer.concat(chunks), url, response);
      default:
        response.writeHead(404).end();
    }
  }

  #append(records, body, url, response) {
    const topic = url.searchParams.get("topic") ?? "";
    const at = url.searchParams.get("at");
    if (topic === "keyed.op" || topic === "keyed.servers") {
      return sendJson(response, 403, {});
    }
    if (at !== null && Number(at) !== records.length) {
      return sendJson(response, 412, { end: records.length });
    }
    const offset = records.length;
    for (let start = 0; start + 4 <= body.length;) {
      const length = body.readUInt32BE(start);
      const record = body.subarray(start + 4, start + 4 + length);
      const keyLength = record[0];
      const key = record.subarray(1, 1 + keyLength).toString();
      const value = Buffer.from(record.subarray(1 + keyLength));
      records.push({ key, value });
      this.onAppend(topic, key, value.toString());
      start += 4 + length;
    }
    sendJson(response, 200, { offset, end: records.length });
  }
}

function sendJson(response, status, value) {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}

function sendNewest(records, url, response) {
  const newest = new Map();
  for (const [offset, { key, value }] of records.entries()) {
    if (value.length === 0) newest.delete(key);
    else newest.set(key, { key, value: value.toString("base64"), offset });
  }
  const after = url.searchParams.get("after") ?? "";
  const items = [...newest.values()].filter(({ key }) => key > after)
    .sort((a, b) => a.key < b.key ? -1 : 1);
  sendJson(response, 200, {
    items: items.slice(0, PAGE_SIZE),
    hasMore: items.length > PAGE_SIZE,
    end: records.length,
  });
}

async function sendFrom(records, url, response) {
  const from = Number(url.searchParams.get("from"));
  const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
  const endMs = performance.now() + waitMs;
  while (records.length <= from && performance.now() < endMs) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  const head = Buffer.alloc(16);
  head.writeBigUInt64BE(BigInt(records.length), 0);
  const parts = records.slice(from).map(({ key, value }) => {
    const keyBytes = Buffer.from(key);
    const start = Buffer.alloc(5);
    start.writeUInt32BE(1 + keyBytes.length + value.length, 0);
    start.writeUInt8(keyBytes.length, 4);
    return Buffer.concat([start, keyBytes, value]);
  });
  response.writeHead(200, { "content-type": "application/octet-stream" });
  response.end(Buffer.concat([head, ...parts]));
}
