/** Log payloads of one record each, for the benchmarks of state. */
import { type SettingsPath } from "../../src/model/mod.ts";
import { encodeBatch, positionOf } from "../../src/state/mod.ts";

/** Number of workspaces that the edits are spread over. */
export const WORKSPACE_COUNT = 200;

/** Returns the payload of the edit at this offset. */
export function editPayload(offset: number): string {
  const workspace = offset % WORKSPACE_COUNT;
  const path: SettingsPath = `/region-${workspace % 3}/workspace-${workspace}`;
  return encodeBatch([{
    id: `edit-${offset}`,
    kind: "edit",
    path,
    change: { set: { maxConcurrent: offset % 1000 }, clear: [] },
    base: offset === 0 ? 0 : positionOf(offset - 1, 0),
    author: "operator",
    note: "",
  }]);
}

/** Returns the payload of the claim at this offset. */
export function claimPayload(offset: number): string {
  return encodeBatch([{
    id: `claim-${offset}`,
    kind: "claim",
    workspace: "/khomas/heritage",
    key: `key-${offset}`,
    requestId: `request-${offset}`,
    bodyHash: "0123456789abcdef",
    vm: "vm-1",
  }]);
}
