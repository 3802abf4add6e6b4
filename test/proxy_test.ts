/** Tests of the fault-injecting proxy. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { FaultProxy } from "./proxy.ts";

async function startEcho(context: TestContext): Promise<EchoFixture> {
  let received = "";
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      received += chunk.toString();
      socket.write(chunk);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const proxy = new FaultProxy({ target: `127.0.0.1:${port}` });
  const address = await proxy.listen();
  context.after(async () => {
    await proxy.close();
    server.close();
  });
  return { proxy, address, received: () => received };
}

interface EchoFixture {
  readonly proxy: FaultProxy;
  readonly address: string;
  readonly received: () => string;
}

async function open(context: TestContext, address: string): Promise<Socket> {
  const [host, port] = address.split(":");
  const socket = connect(Number(port), host);
  socket.on("error", () => {});
  context.after(() => {
    socket.destroy();
  });
  await once(socket, "connect");
  return socket;
}

async function echoOf(socket: Socket, text: string): Promise<string> {
  const reply = once(socket, "data");
  socket.write(text);
  const [chunk] = await reply;
  return String(chunk);
}

test("bytes pass in both directions", async (context) => {
  const { address } = await startEcho(context);
  const socket = await open(context, address);
  assert.equal(await echoOf(socket, "one"), "one");
});

test("a silenced connection stays silent and a new one works", async (context) => {
  const { proxy, address, received } = await startEcho(context);
  const old = await open(context, address);
  assert.equal(await echoOf(old, "one"), "one");
  proxy.silenceOpen();
  old.on("data", () => assert.fail("a silenced connection carried a reply"));
  old.write("lost");
  const fresh = await open(context, address);
  assert.equal(await echoOf(fresh, "two"), "two");
  assert.equal(received(), "onetwo");
});

test("the request of a dropped reply is forwarded", async (context) => {
  const { proxy, address, received } = await startEcho(context);
  proxy.switches.dropReplyCount = 1;
  const socket = await open(context, address);
  socket.on("data", () => assert.fail("the reply was not dropped"));
  socket.write("one");
  await once(socket, "close");
  assert.equal(received(), "one");
});

test("cut closes connections and refuses new ones until heal", async (context) => {
  const { proxy, address } = await startEcho(context);
  const socket = await open(context, address);
  assert.equal(await echoOf(socket, "one"), "one");
  proxy.cut();
  await once(socket, "close");
  const refused = await open(context, address);
  await once(refused, "close");
  proxy.heal();
  const fresh = await open(context, address);
  assert.equal(await echoOf(fresh, "two"), "two");
});

test("a reply arrives complete though the target closes right after it", async () => {
  const REPLY_BYTES = 200_000;
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.end(Buffer.alloc(REPLY_BYTES, 1));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const proxy = new FaultProxy({ target: `127.0.0.1:${port}`, delayMs: 5 });
  const [host, proxyPort] = (await proxy.listen()).split(":");
  for (let round = 0; round < 50; round += 1) {
    const socket = connect(Number(proxyPort), host);
    let sizeBytes = 0;
    socket.on("data", (chunk) => sizeBytes += chunk.length);
    await once(socket, "close");
    assert.equal(sizeBytes, REPLY_BYTES);
  }
  await proxy.close();
  server.close();
});
