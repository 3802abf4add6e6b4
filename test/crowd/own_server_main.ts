/** The server of the own interface in a process of its own. */
import process from "node:process";
import { listenHttp } from "../../src/bin/http_server.ts";
import { readBytes } from "../../src/client/transport.ts";

const MAX_BODY_BYTES = 1_048_576;
const LIMITS = { maxConnectionCount: 250 };

const server = await listenHttp(async ({ body }) => {
  if (body === null) return new Response("0");
  const bytes = await readBytes(
    body as unknown as AsyncIterable<unknown>,
    MAX_BODY_BYTES,
  );
  return new Response(String(bytes.length));
}, { host: process.argv[2] ?? "", port: 0, ...LIMITS });
process.stdout.write(server.address);
