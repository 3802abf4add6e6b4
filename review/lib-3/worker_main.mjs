/**
 * A worker as a process of its own. It answers `GET /healthz`, and streams and
 * plain answers as its settings (JSON in the first argument) say. It tells its
 * parent what it runs, and exits by itself some time after the message "drain".
 */
import http from "node:http";

const settings = JSON.parse(process.argv[2]);
const { id, pieces, gapMs, isFramed, exitAfterMs } = settings;
const tell = (message) => process.send?.(message);

const server = http.createServer((request, response) => {
  request.resume();
  request.on("end", () => {
    if (request.url === "/healthz") {
      response.writeHead(200, { "X-Instance-Id": id }).end();
      return;
    }
    const requestId = request.headers["x-request-id"];
    if (request.headers["x-expect-instance"] !== id) {
      response.writeHead(421, { "X-Not-Executed": "1", "X-Request-Id": requestId }).end();
      return;
    }
    tell({ kind: "run", requestId, worker: id, path: request.url });
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    response.sendDate = false;
    response.shouldKeepAlive = false;
    // Without a length or chunks the answer ends with its channel.
    if (!isFramed) response.useChunkedEncodingByDefault = false;
    response.writeHead(200, {
      "Content-Type": "text/event-stream",
      "X-Request-Id": requestId,
      "X-Response-Signature": `${id}.${requestId}`,
      "X-Server-Load": "1,0,16",
    });
    let next = first;
    const timer = setInterval(() => {
      response.write(`id: ${next}\ndata: piece ${next} of ${pieces}\n\n`);
      next += 1;
      if (next <= pieces) return;
      clearInterval(timer);
      response.end();
    }, gapMs);
    response.on("close", () => {
      clearInterval(timer);
      tell({ kind: "end", requestId, worker: id, pieces: next - 1, isWhole: next > pieces });
    });
  });
});
server.listen(0, "127.0.0.1", () => tell({ kind: "listening", port: server.address().port }));
process.on("message", (message) => {
  if (message === "drain") setTimeout(() => process.exit(0), exitAfterMs);
});
process.on("disconnect", () => process.exit(0));
