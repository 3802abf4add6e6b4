/** The addresses of VMs that a caller is told. */
import { chooseEntries, type MembershipState } from "../../decision/mod.ts";
import { type Clock, type Random } from "../../model/mod.ts";
import { type EntryRegionChoice } from "./entry_regions.ts";
import { type GatewayMetrics } from "../telemetry/gateway_metrics.ts";
import { type GatewaySettings } from "../gateway_settings.ts";

/** Maximum number of addresses returned; VMs are sampled by free capacity. */
const MAX_ENTRIES = 4;
/** VMs of other data centres are added if the caller's own has fewer. */
const MIN_ENTRIES = 2;
const LOAD_MAX_AGE_MS = 10_000;

/** Returns addresses for a caller, those of its data centre first. */
export function advertisedAddresses(
  membership: MembershipState,
  { settings, place, region, placeGroups, clock, random, metrics }:
    & EntryRegionChoice
    & {
      readonly settings: GatewaySettings;
      /** The caller's data centre, if it named one. */
      readonly place: string | undefined;
      readonly clock: Clock;
      readonly random: Random;
      readonly metrics: GatewayMetrics;
    },
): string[] {
  const { entries } = chooseEntries(membership, {
    place,
    region,
    placeGroups,
    places: settings.places.map((item) => ({ ...item, delayMs: 0 })),
    drainedPlaces: [],
    maxCount: MAX_ENTRIES,
    minCount: MIN_ENTRIES,
    maxAgeMs: settings.entryMaxAgeMs,
    isStrict: true,
    loadMaxAgeMs: LOAD_MAX_AGE_MS,
    nowMs: clock(),
    random,
  });
  const [permitted] = placeGroups;
  if (entries.some(({ place: named }) => permitted?.(named) === false)) {
    metrics.count("entries_outside_regions", {});
  }
  return entries.map(({ address }) => address);
}
