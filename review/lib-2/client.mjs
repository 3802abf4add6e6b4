// Plain JavaScript has no return types.
// deno-lint-ignore-file explicit-function-return-type
// A client on a raw socket: it sends one request of HTTP/1.1 on a new channel and
// tells how the answer ended, also whether the channel was closed plainly or
// reset. It closes the channel once the answer is whole by its own framing.
import { connect } from "node:net";

/** Sends a request; resolves when its channel is closed. */
export function call(address, { method = "POST", path, headers, body = "" }) {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const chunks = [];
    let end = "open";
    const socket = connect({ host, port: Number(port) });
    const text = [
      `${method} ${path} HTTP/1.1`,
      ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
      `Content-Length: ${Buffer.byteLength(body)}`,
      "",
      body,
    ].join("\r\n");
    socket.on("connect", () => socket.write(text));
    socket.on("data", (chunk) => {
      chunks.push(chunk);
      const answer = parse(Buffer.concat(chunks), end);
      if (answer.looksComplete) socket.destroy();
    });
    socket.on("end", () => {
      // The system shows a reset behind unread bytes as an end.
      end = socket.remoteAddress === undefined ? "reset" : "plain end";
    });
    socket.on(
      "error",
      ({ code }) => end = code === "ECONNRESET" ? "reset" : code,
    );
    socket.on("close", () => resolve(parse(Buffer.concat(chunks), end)));
  });
}

/** Returns status, headers, body, and whether the answer looks complete. */
function parse(bytes, end) {
  const split = bytes.indexOf("\r\n\r\n");
  if (split < 0) {
    return { status: 0, headers: {}, body: "", end, looksComplete: false };
  }
  const [statusLine, ...lines] = bytes.subarray(0, split).toString("latin1")
    .split("\r\n");
  const headers = Object.fromEntries(lines.map((line) => {
    const colon = line.indexOf(":");
    const name = line.slice(0, colon).toLowerCase();
    return [name, line.slice(colon + 1).trim()];
  }));
  const status = Number(statusLine.split(" ")[1]);
  const rest = bytes.subarray(split + 4);
  if (headers["transfer-encoding"]?.toLowerCase() === "chunked") {
    const { body, isEnded } = unchunk(rest);
    return {
      status,
      headers,
      body,
      end,
      framing: "chunks",
      looksComplete: isEnded,
    };
  }
  const body = rest.toString();
  if (headers["content-length"] !== undefined) {
    const looksComplete = rest.length === Number(headers["content-length"]);
    return { status, headers, body, end, framing: "length", looksComplete };
  }
  const looksComplete = end === "plain end";
  return { status, headers, body, end, framing: "none", looksComplete };
}

function unchunk(bytes) {
  const parts = [];
  let at = 0;
  for (;;) {
    const lineEnd = bytes.indexOf("\r\n", at);
    if (lineEnd < 0) break;
    const size = parseInt(bytes.subarray(at, lineEnd).toString(), 16);
    if (size === 0) {
      return { body: Buffer.concat(parts).toString(), isEnded: true };
    }
    const start = lineEnd + 2;
    parts.push(bytes.subarray(start, start + size));
    at = start + size + 2;
    if (at > bytes.length) break;
  }
  return { body: Buffer.concat(parts).toString(), isEnded: false };
}
