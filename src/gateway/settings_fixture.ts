/** Settings of a VM for tests. */
import { type GatewaySettings } from "./gateway_settings.ts";
import { MAX_ENTRY_AGE_MS } from "./gateway_shutdown.ts";
import { LOOPBACK_HOST } from "../model/loopback_fixture.ts";

/** Returns the settings of the only VM of a small deployment. */
export function settingsOf(
  fields: Partial<GatewaySettings> = {},
): GatewaySettings {
  return {
    vm: "vm-1",
    place: "khomas-a",
    places: [{ place: "khomas-a", region: "khomas" }],
    callerAddress: `${LOOPBACK_HOST}:0`,
    peerAddress: `${LOOPBACK_HOST}:0`,
    seeds: [],
    memoryBytes: 350 * 1024 * 1024,
    descriptorCount: 4100,
    coreShare: 1,
    drainMs: 2500,
    convergeMs: 2500,
    graceMs: 8000,
    entryMaxAgeMs: MAX_ENTRY_AGE_MS,
    retryBound: { ratio: 0.9, slackCount: 56, windowMs: 10_000 },
    canaryShare: 0.15,
    canarySlackCount: 0,
    coldBound: { ratio: 1.5, slackCount: 5 },
    evacuateMs: 5000,
    ...fields,
  };
}
