/** The other VMs of a gateway, and how far places are. */
import { noMetrics, splitAddress } from "../model/mod.ts";
import {
  createPeerNode,
  NO_BILLS,
  NO_RECORDS,
  type PeerNode,
} from "../wire/mod.ts";
import { type GatewayOptions } from "./gateway_options.ts";
import { type GatewaySettings } from "./gateway_settings.ts";
import { type PeerExchange } from "./peer_exchange.ts";

const PROBE_PERIOD_MS = 500;
/** The way to another data centre of the region, and to another region. */
const NEAR_MS = 8;
const FAR_MS = 80;

/** Creates the node of a VM; it does nothing before its start. */
export function openPeers(
  options: GatewayOptions,
  exchange: PeerExchange,
): PeerNode {
  const { settings, clock, random, sleep, logger } = options;
  const { host, port } = splitAddress(settings.peerAddress);
  return createPeerNode({
    vm: settings.vm,
    place: settings.place,
    address: "",
    listenHost: host,
    listenPort: port,
    deployment: "gateway",
    sharedKey: "gateway",
    seeds: settings.seeds,
    membership: { periodMs: PROBE_PERIOD_MS, directTimeoutMs: 200 },
    records: NO_RECORDS,
    bills: NO_BILLS,
    exchange: (vm, news) => exchange.answer(vm, news),
    clock,
    random,
    sleep,
    logger,
    metrics: noMetrics,
  });
}

/** The cost of the way to a place, in milliseconds. */
export function distances(
  settings: GatewaySettings,
): (place: string) => number {
  const regions = new Map(
    settings.places.map(({ place, region }) => [place, region]),
  );
  const own = regions.get(settings.place);
  return (place) => {
    if (place === settings.place) return 0;
    return regions.get(place) === own ? NEAR_MS : FAR_MS;
  };
}
