// Plain JavaScript has no return types.
// deno-lint-ignore-file explicit-function-return-type
/** A client: sends one request and reads the answer. */
import { request } from "node:http";

/**
 * Resolves with the status (0 without an answer), headers, body whether the
 * answer came to its marked end, and whether the channel had been kept. `method`, `body` and `headers` go as they are.
 */
export function send(address, {
  id,
  host,
  key,
  path,
  method = "POST",
  body,
  headers = {},
  /** An agent that keeps channels; without one, the channel is a new one. */
  agent = false,
  deadlineMs = 5000,
  onData = () => {},
  onResponse = () => {},
}) {
  return new Promise((resolve) => {
    let status = 0;
    let answerHeaders = {};
    const chunks = [];
    const settle = (isComplete) =>
      resolve({
        status,
        headers: answerHeaders,
        body: Buffer.concat(chunks),
        isComplete,
        wasKept: sent.reusedSocket,
      });
    const sent = request(`http://${address}${path}`, {
      method,
      agent,
      headers: {
        host,
        "x-request-id": id,
        "x-request-deadline": String(deadlineMs),
        ...key === undefined ? {} : { authorization: `Token ${key}` },
        ...body === undefined || "transfer-encoding" in headers
          ? {}
          : { "content-length": body.length },
        ...headers,
      },
    });
    const timer = setTimeout(() => sent.destroy(), deadlineMs);
    sent.on("error", () => settle(false));
    sent.on("response", (response) => {
      status = response.statusCode;
      answerHeaders = response.headers;
      response.on("data", (chunk) => {
        chunks.push(chunk);
        onData(chunk, response);
      });
      response.on("error", () => {});
      response.on("close", () => {
        clearTimeout(timer);
        settle(response.complete);
      });
      onResponse(response);
    });
    sent.end(body);
  });
}
