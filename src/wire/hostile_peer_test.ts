/** Tests of a node against sockets that don't speak the protocol. */
import assert from "node:assert/strict";
import { type Socket } from "node:net";
import { test } from "node:test";
import {
  connectSocket,
  hasAliveMember,
  nodeOf,
  startListener,
  startNode,
  until,
} from "./peer_fixture.ts";
import { type PeerNode } from "./peer_node.ts";

const BOUNDS = { handshakeTimeoutMs: 200, maxHandshakes: 4 };

async function waitForClose(socket: Socket): Promise<void> {
  socket.resume();
  await until(() => socket.closed);
}

async function acceptsNewPeer(
  node: PeerNode,
  address: string,
): Promise<boolean> {
  const other = nodeOf("vm-late", { seeds: [address] });
  await startNode(other);
  await until(() => hasAliveMember(node, "vm-late"));
  await other.close();
  return true;
}

for (
  const [name, bytes] of [
    ["an oversize frame", Buffer.from([0x7f, 0xff, 0xff, 0xff])],
    ["random bytes", Buffer.from("a9f03c77e1b2d4f8006e", "hex")],
    ["an HTTP request", Buffer.from("GET / HTTP/1.1\r\nhost: a\r\n\r\n")],
    ["an empty frame", Buffer.from([0, 0, 0, 0])],
    ["a truncated frame, then silence", Buffer.from([0, 0, 0, 40, 0xa1])],
  ] as const
) {
  test(`a node closes a connection after ${name} and accepts new peers`, async () => {
    const node = nodeOf("vm-a", { bounds: BOUNDS });
    const address = await startNode(node);
    const socket = await connectSocket(address);
    socket.write(bytes);
    await waitForClose(socket);
    assert.equal(await acceptsNewPeer(node, address), true);
    await node.close();
  });
}

test("a peer that sends one byte at a time is disconnected by the timeout", async () => {
  const node = nodeOf("vm-a", { bounds: BOUNDS });
  const address = await startNode(node);
  const socket = await connectSocket(address);
  let isOpen = true;
  socket.once("close", () => isOpen = false);
  const timer = setInterval(() => socket.write(Buffer.from([0])), 25);
  await until(() => !isOpen);
  clearInterval(timer);
  assert.equal(await acceptsNewPeer(node, address), true);
  await node.close();
});

test("silent sockets are limited to the maximum number of handshakes", async () => {
  const SOCKETS = 12;
  const bounds = { maxHandshakes: 4, handshakeTimeoutMs: 60_000 };
  const node = nodeOf("vm-a", { bounds });
  const address = await startNode(node);
  const sockets: Socket[] = [];
  for (let count = 0; count < SOCKETS; count++) {
    const socket = await connectSocket(address);
    sockets.push(socket.resume());
  }
  const closed = (): Socket[] => sockets.filter((socket) => socket.closed);
  await until(() => closed().length === SOCKETS - bounds.maxHandshakes);
  for (const socket of sockets) socket.destroy();
  assert.equal(await acceptsNewPeer(node, address), true);
  await node.close();
});

test("a seed that accepts a connection and sends nothing times out", async () => {
  let openCount = 0;
  const silent = await startListener((socket) => {
    openCount += 1;
    socket.resume();
  });
  const node = nodeOf("vm-a", { bounds: BOUNDS, seeds: [silent.address] });
  const address = await startNode(node);
  await until(() => openCount >= 2);
  assert.equal(await acceptsNewPeer(node, address), true);
  await node.close();
  silent.close();
});
