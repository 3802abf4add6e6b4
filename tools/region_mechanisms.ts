/** The mechanisms that keep requests in the regions that they allow. */
import { type Mechanism } from "./mechanism.ts";

export const REGION_MECHANISMS: readonly Mechanism[] = [
  {
    name: "servers of the allowed regions",
    file: "src/gateway/servers/server_choice.ts",
    source: "allowsPlace?.(server.place) !== false &&",
    replacement: "allowsPlace !== null &&",
    tests: ["src/gateway/servers/region_traffic_test.ts"],
  },
  {
    name: "regions of a workspace",
    file: "src/gateway/callers/request_admission.ts",
    source: "...workspace === undefined ? [] : [workspace],",
    replacement: "",
    tests: ["src/gateway/servers/request_regions_test.ts"],
  },
  {
    name: "regions of the manifest in force",
    file: "src/gateway/servers/request_regions.ts",
    source: "commonRegions(inForce));",
    replacement: "commonRegions(inForce.slice(2)));",
    tests: ["src/gateway/servers/request_regions_test.ts"],
  },
  {
    name: "relay within the permitted regions",
    file: "src/gateway/forwarding/vm_relays.ts",
    source: "!triedIds.has(vm) && allowsPlace(place);",
    replacement:
      '!triedIds.has(vm) && allowsPlace !== undefined && place !== "";',
    tests: ["src/gateway/servers/region_traffic_test.ts"],
  },
  {
    name: "a relayed request's caller is elsewhere",
    file: "src/gateway/servers/request_regions.ts",
    source: "return isRelayed ? callerRegion : this.ownRegion;",
    replacement:
      "return (isRelayed ? callerRegion : undefined) ?? this.ownRegion;",
    tests: ["src/gateway/servers/request_regions_test.ts"],
  },
  {
    name: "no relay without a server in the regions",
    file: "src/gateway/forwarding/target_choice.ts",
    source:
      "if (isWithoutServer(this.#context, this.#request)) return undefined;",
    replacement: "if (isWithoutServer === undefined) return undefined;",
    tests: ["src/gateway/servers/region_traffic_test.ts"],
  },
  {
    name: "versions ready in the allowed regions",
    file: "src/gateway/rollout/version_choice.ts",
    source: "const { allowsPlace = (): boolean => true } = session;",
    replacement: "const allowsPlace = (): boolean => session !== undefined;",
    tests: ["src/gateway/rollout/rollout_registry_test.ts"],
  },
  {
    name: "refusal by region of servers that are down",
    file: "src/gateway/forwarding/retry_delay.ts",
    source: "return isEachDown ?",
    replacement: 'return isEachDown && cause === "" ?',
    tests: ["src/gateway/servers/region_traffic_test.ts"],
  },
  {
    name: "directory by region",
    file: "src/decision/entry_addresses.ts",
    source: "if (group.length > 0) return group;",
    replacement: "",
    tests: ["platform/management_servers_test.ts"],
  },
];
