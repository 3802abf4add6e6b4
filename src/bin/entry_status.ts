/** Serves the status of an entry to operators. */
import { presentMembers } from "../decision/mod.ts";
import { type AdminRoute } from "../filter/mod.ts";
import { type EntryParts } from "./entry_parts.ts";

/** Returns the route `GET /v1/admin/status`. */
export function statusRoute(parts: EntryParts): AdminRoute {
  return {
    method: "GET",
    path: "/status",
    handle: () => Promise.resolve(statusOf(parts)),
  };
}

function statusOf(parts: EntryParts): unknown {
  const { context, journal, handler, vmList, selector } = parts;
  const { node } = parts.peers;
  const control = journal.control();
  const { ageMs, isLogReachable } = journal.freshness();
  const members = node === undefined
    ? []
    : presentMembers(node.membership()).map((member) => member.update);
  return {
    vm: context.settings.vm,
    place: context.settings.place,
    isReady: parts.isReady(),
    revision: control.revision,
    position: control.position,
    settingsAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : null,
    isLogReachable,
    vmListAgeMs: vmList.last()?.ageMs ?? null,
    skippedRecordCount: control.skippedCount,
    handler: handler.status(),
    peers: node?.counts() ?? null,
    members: members.map(({ vm, place, status }) => ({ vm, place, status })),
    stoppedVersions: selector.watch.localStops.list().map((stop) =>
      stop.version
    ),
  };
}
