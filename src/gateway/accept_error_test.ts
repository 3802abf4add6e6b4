/** Tests of a VM that the operating system can't hand a connection over to. */
import assert from "node:assert/strict";
import { connect, type Server, type Socket } from "node:net";
import { test } from "node:test";
import { splitAddress } from "../model/mod.ts";
import { recordAccepted } from "./callers/accepted_fixture.ts";
import {
  call,
  LOOKUP_ROUTE,
  startGateway,
  untilReady,
} from "./gateway_fixture.ts";
import { sendCompleteAnswer, startBackend } from "./servers/backend_fixture.ts";
import { until } from "./until_fixture.ts";

/** Node's sockets know the server that has accepted them. */
function serverOf(socket: Socket): Server | undefined {
  return (socket as unknown as { server?: Server }).server;
}

// Guards against LOST: the second connection that could not be accepted ended the
// process, and with it all open requests.
test("connections that can't be accepted end no VM", async (context) => {
  const accepted = recordAccepted(context);
  const backend = await startBackend("server", sendCompleteAnswer);
  const gateway = await startGateway({
    backends: [backend],
    manifest: { routes: [LOOKUP_ROUTE] },
  });
  context.after(() => Promise.all([gateway.gateway.stop(), backend.close()]));
  await untilReady(gateway);
  const { callerAddress, peerAddress } = gateway;
  for (const address of [callerAddress, peerAddress]) {
    const { host, port } = splitAddress(address);
    const socket = connect(port, host);
    context.after(() => socket.destroy());
    await until(() => accepted.some(({ localPort }) => localPort === port));
    const server = accepted.find(({ localPort }) => localPort === port);
    const error = Object.assign(new Error("accept ENOMEM"), { code: "ENOMEM" });
    for (let count = 0; count < 3; count++) {
      assert.ok(server && serverOf(server)?.emit("error", error));
    }
  }
  const answer = await call(callerAddress, { path: "/lookups/a" });
  assert.equal(answer.status, 200);
});
