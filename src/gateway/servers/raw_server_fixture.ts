/** Backend servers that answer with the bytes of a test. */
import { type AddressInfo, createServer, type Socket } from "node:net";
import { type TestContext } from "node:test";
import { serverOf } from "../../decision/manifest_fixture.ts";
import { type BackendServer } from "../../model/mod.ts";
import { LOOPBACK_HOST } from "../../model/loopback_fixture.ts";

/** Answers a request, whose body may not have arrived. */
export type RawAnswer = (socket: Socket, requestId: string) => void;

/** A backend server and the ids of the requests that it received. */
export interface RawServer {
  readonly server: BackendServer;
  readonly requestIds: readonly string[];
}

/** Starts a server that takes one request on each connection. */
export async function startRawServer(
  context: TestContext,
  { id = "raw", answer, isFull = () => false }: {
    readonly id?: string;
    /** Whether a further connection is reset. */
    readonly isFull?: () => boolean;
    readonly answer: (
      ...parameters: [...Parameters<RawAnswer>, head: string]
    ) => void;
  },
): Promise<RawServer> {
  const requestIds: string[] = [];
  const open = new Set<Socket>();
  const listener = createServer((socket) => {
    if (isFull()) return void socket.resetAndDestroy();
    open.add(socket);
    socket.on("close", () => open.delete(socket));
    socket.on("error", () => {});
    socket.once("data", (bytes) => {
      const requestId = /test-id: (\S+)/i.exec(bytes.toString())?.[1] ?? "";
      requestIds.push(requestId);
      answer(socket, requestId, String(bytes));
    });
  });
  await new Promise<void>((resolve) =>
    listener.listen(0, LOOPBACK_HOST, resolve)
  );
  context.after(() => {
    listener.close();
    for (const socket of open) socket.destroy();
  });
  const { port } = listener.address() as AddressInfo;
  const server = serverOf(id, { address: `${LOOPBACK_HOST}:${port}` });
  return { server, requestIds };
}

/** Returns the head of a signed answer. */
export function answerHeadOf(requestId: string, ...lines: string[]): string {
  return [
    "HTTP/1.1 200 OK",
    `test-id: ${requestId}`,
    "test-signature: signed",
    ...lines,
    "\r\n",
  ].join("\r\n");
}
