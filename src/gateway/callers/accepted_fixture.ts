/** The connections of VMs in this process, and their end with the process. */
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import { type Socket } from "node:net";
import { type TestContext } from "node:test";
import { splitAddress } from "../../model/mod.ts";
import { type TestGateway } from "../gateway_fixture.ts";

/** Records the connections that this process accepts from now on. */
export function recordAccepted(context: TestContext): readonly Socket[] {
  const accepted: Socket[] = [];
  const record = (message: unknown): void => {
    accepted.push((message as { socket: Socket }).socket);
  };
  subscribe("net.server.socket", record);
  context.after(() => unsubscribe("net.server.socket", record));
  return accepted;
}

/** Closes a VM's connections to callers as the kernel does after its end. */
export function closeAll(accepted: readonly Socket[], vm: TestGateway): void {
  const { port } = splitAddress(vm.callerAddress);
  for (const socket of accepted) {
    if (socket.localPort === port) socket.destroy();
  }
}
