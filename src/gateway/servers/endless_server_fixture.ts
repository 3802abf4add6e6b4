/** A faulty backend server, and the places at which its answers go on forever. */
import { type AddressInfo, createServer, type Socket } from "node:net";
import { type TestContext } from "node:test";
import { serverOf } from "../../decision/manifest_fixture.ts";
import { LOOPBACK_HOST } from "../../model/loopback_fixture.ts";
import { type BackendServer } from "../../model/mod.ts";
import { answerHeadOf } from "./raw_server_fixture.ts";

/** An answer that goes on forever. */
export interface EndlessAnswer {
  readonly place: string;
  /** Whether it is the answer to a stream. */
  readonly isStream?: boolean;
  /** Lines of a complete head; `undefined` where it never is. */
  readonly head?: readonly string[];
  readonly first?: string;
  readonly rest: string;
  /**
   * What comes of it for the caller, unless that gets another server's: the
   * answer that came before the rest, or events until its time is up.
   */
  readonly outcome?: "whole" | "events";
  /** Whether the rest is neither head nor body for the HTTP parser. */
  readonly isUncounted?: boolean;
}

const CHUNKED = ["transfer-encoding: chunked"];
/** Short of the parser's own limit on the extensions of one chunk. */
const EXTENSION = `;x=${"y".repeat(8000)}`;

/** Each place in an answer that may have no end. */
export const ENDLESS_ANSWERS: readonly EndlessAnswer[] = [
  { place: "status line", first: "HTTP/1.1 200 ", rest: "fine " },
  { place: "header name", first: "HTTP/1.1 200 OK\r\nx", rest: "name" },
  { place: "header value", first: "HTTP/1.1 200 OK\r\nx: ", rest: "value " },
  { place: "headers", first: "HTTP/1.1 200 OK\r\n", rest: "x: more\r\n" },
  {
    place: "interim answers",
    rest: "HTTP/1.1 102 Processing\r\n\r\n",
    isUncounted: true,
  },
  { place: "blank lines before the head", rest: "\r\n", isUncounted: true },
  { place: "no HTTP", rest: "noise " },
  {
    place: "body beyond its length",
    head: ["content-length: 5"],
    first: "whole",
    rest: "more ",
    outcome: "whole",
  },
  {
    place: "body of a great length",
    head: ["content-length: 999999999999"],
    rest: "more ",
  },
  { place: "chunk size", head: CHUNKED, rest: "0", isUncounted: true },
  { place: "chunk extension", head: CHUNKED, first: "5;x=", rest: "more" },
  {
    place: "extensions of many chunks",
    head: CHUNKED,
    rest: `1${EXTENSION}\r\nx\r\n`,
    isUncounted: true,
  },
  {
    place: "chunk data",
    head: CHUNKED,
    first: "ffffffffff\r\n",
    rest: "more ",
  },
  { place: "chunks", head: CHUNKED, rest: "5\r\nmore \r\n" },
  {
    place: "trailers",
    head: CHUNKED,
    first: "5\r\nwhole\r\n0\r\n",
    rest: "x: more\r\n",
    isUncounted: true,
  },
  {
    place: "end of chunks",
    head: CHUNKED,
    first: "5\r\nwhole\r\n0\r\n",
    rest: "junk",
  },
  {
    place: "behind the last chunk",
    head: CHUNKED,
    first: "5\r\nwhole\r\n0\r\n\r\n",
    rest: "junk",
    outcome: "whole",
  },
  { place: "body without a length", head: [], rest: "more " },
  {
    place: "events",
    isStream: true,
    head: CHUNKED,
    rest: "13\r\ndata: more events\n\n\r\n",
    outcome: "events",
  },
  {
    place: "event",
    isStream: true,
    head: [],
    first: "id: 1\n",
    rest: "data: more\n",
  },
  { place: "comment lines", isStream: true, head: [], rest: ": more\n\n" },
  { place: "blank lines of a stream", isStream: true, head: [], rest: "\n\n" },
];

/** A server whose answers go on forever. */
export interface EndlessServer {
  readonly server: BackendServer;
  readonly openCount: () => number;
  /** What each endless answer has sent, in bytes. */
  readonly sentBytes: readonly number[];
}

/** Starts a server that answers soundly only to ids that `isSound` selects. */
export async function startEndless(
  context: TestContext,
  { head, first = "", rest }: EndlessAnswer,
  { isSound, soundBody }: {
    readonly isSound: (id: string) => boolean;
    readonly soundBody: string;
  },
): Promise<EndlessServer> {
  const open = new Set<Socket>();
  const sentBytes: number[] = [];
  const part = Buffer.from(rest.repeat(Math.ceil(4096 / rest.length)));
  const listener = createServer((socket) => {
    open.add(socket);
    socket.on("close", () => open.delete(socket));
    socket.on("error", () => {});
    socket.once("data", (bytes) => {
      const id = /test-id: (\S+)/i.exec(bytes.toString())?.[1] ?? "";
      if (isSound(id)) {
        const length = `content-length: ${soundBody.length}`;
        return void socket.end(answerHeadOf(id, length) + soundBody);
      }
      const index = sentBytes.push(0) - 1;
      const start = head === undefined ? "" : answerHeadOf(id, ...head);
      if (start + first !== "") socket.write(start + first);
      const send = (): void => {
        while (!socket.destroyed) {
          sentBytes[index] = (sentBytes[index] ?? 0) + part.length;
          if (!socket.write(part)) return void socket.once("drain", send);
        }
      };
      send();
    });
  });
  await new Promise<void>((resolve) =>
    listener.listen(0, LOOPBACK_HOST, resolve)
  );
  context.after(() => {
    for (const socket of open) socket.destroy();
    listener.close();
  });
  const { port } = listener.address() as AddressInfo;
  const address = `${LOOPBACK_HOST}:${port}`;
  return {
    server: serverOf("endless", { address }),
    openCount: () => open.size,
    sentBytes,
  };
}
