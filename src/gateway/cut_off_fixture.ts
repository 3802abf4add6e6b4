/** A VM that has lost its links to all servers, which other VMs still reach. */
import { type TestContext } from "node:test";
import { type BackendServer } from "../model/mod.ts";
import {
  startGateway,
  type TestGateway,
  type TestGatewayOptions,
  untilReady,
} from "./gateway_fixture.ts";
import { startLinks } from "./servers/server_link_fixture.ts";
import { MemoryTopic } from "./store/memory_topic_fixture.ts";
import { until } from "./until_fixture.ts";

/** The VMs; the one that is cut off finds that out by its next request. */
export interface CutOffSite {
  readonly cutOff: TestGateway;
  readonly others: readonly TestGateway[];
}

/** Starts VMs that know each other, and cuts one off from all servers. */
export async function startCutOff(
  context: TestContext,
  { servers, others, ...options }:
    & Pick<TestGatewayOptions, "manifest" | "protocol" | "settings">
    & {
      readonly servers: readonly BackendServer[];
      /** The settings of each other VM. */
      readonly others: readonly TestGatewayOptions["settings"][];
    },
): Promise<CutOffSite> {
  const links = await startLinks(servers);
  const topics = { operators: new MemoryTopic(), servers: new MemoryTopic() };
  for (const server of servers) topics.servers.put(server.id, server);
  const { linked } = links;
  const cutOff = await startGateway({ ...options, ...topics, linked });
  const { protocol } = options;
  const common = { ...topics, ...protocol === undefined ? {} : { protocol } };
  const seeds = [cutOff.peerAddress];
  const started = await Promise.all(
    others.map((settings = {}, index) => {
      const vm = `vm-${index + 2}`;
      return startGateway({ ...common, vm, seeds, settings });
    }),
  );
  const vms = [cutOff, ...started];
  context.after(async () => {
    await Promise.all(vms.map(({ gateway }) => gateway.stop()));
    await links.close();
  });
  for (const vm of vms) await untilReady(vm);
  const addresses = (): readonly string[] =>
    cutOff.gateway.entryAddresses({ place: undefined });
  await until(() => addresses().length === vms.length);
  await links.cut("reset");
  return { cutOff, others: started };
}
