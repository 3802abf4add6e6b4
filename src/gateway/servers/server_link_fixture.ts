/** Links from one VM to backend servers that a test can cut. */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { type BackendServer, splitAddress } from "../../model/mod.ts";
import { LOOPBACK_HOST } from "../../model/loopback_fixture.ts";

/** What a cut does to connections; new ones are refused in both. */
export type LinkCut = "reset" | "live_on";

/** The links of one VM. */
export interface ServerLinks {
  /** Returns the server at its address on this VM's link. */
  readonly linked: (server: BackendServer) => BackendServer;
  readonly cut: (how: LinkCut) => Promise<void>;
  readonly heal: () => Promise<void>;
  readonly close: () => Promise<void>;
}

interface Link {
  readonly listener: Server;
  readonly port: number;
  readonly sockets: Set<Socket>;
}

/** Creates a VM's links to the servers. */
export async function startLinks(
  servers: readonly BackendServer[],
): Promise<ServerLinks> {
  const links = new Map<string, Link>();
  for (const server of servers) links.set(server.id, await startLink(server));
  const closeListeners = (): Promise<unknown> =>
    Promise.all(
      [...links.values()].map(({ listener }) =>
        new Promise<void>((resolve) => {
          listener.close(() => resolve());
          if (!listener.listening) resolve();
        })
      ),
    );
  const reset = (): void => {
    for (const { sockets } of links.values()) {
      for (const socket of sockets) socket.resetAndDestroy();
    }
  };
  return {
    linked: (server) => {
      const link = links.get(server.id);
      if (link === undefined) return server;
      return { ...server, address: `${LOOPBACK_HOST}:${link.port}` };
    },
    cut: (how) => {
      const closed = closeListeners();
      if (how === "reset") reset();
      else return Promise.resolve();
      return closed.then(() => {});
    },
    heal: async () => {
      for (const link of links.values()) await listen(link.listener, link.port);
    },
    close: async () => {
      const closed = closeListeners();
      reset();
      await closed;
    },
  };
}

async function startLink(server: BackendServer): Promise<Link> {
  const sockets = new Set<Socket>();
  const keep = (socket: Socket, other: Socket): void => {
    sockets.add(socket);
    socket.on("error", () => other.destroy());
    socket.on("close", () => {
      sockets.delete(socket);
      other.destroy();
    });
  };
  const listener = createServer((socket) => {
    const upstream = connect(splitAddress(server.address));
    keep(socket, upstream);
    keep(upstream, socket);
    socket.pipe(upstream);
    upstream.pipe(socket);
  });
  await listen(listener, 0);
  return { listener, port: (listener.address() as AddressInfo).port, sockets };
}

function listen(listener: Server, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    listener.once("error", reject);
    listener.listen(port, LOOPBACK_HOST, () => resolve());
  });
}
