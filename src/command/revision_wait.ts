/**
 * Waits until a revision is in force on every live entry VM. The VMs are those
 * of the platform's list and those that the operator names; each reports its
 * own revision. A VM that does not respond counts as lagging, unless no
 * responding VM has it as a member: the list retains a failed VM for a while.
 */
import { request } from "undici";
import { z } from "zod";
import { type Clock, type Sleep, vmSchema } from "../model/mod.ts";
import { type Position } from "../state/mod.ts";
import { type OperatorSettings } from "./operator_settings.ts";

/** Result of the latest status query to one entry VM. */
export interface EntryReport {
  readonly address: string;
  readonly vm: string;
  readonly revision: Position | undefined;
  /** Whether the platform's VM list contains the VM. */
  readonly isListed: boolean;
  /** Members that this VM sees as present; `undefined` if not reported. */
  readonly members: readonly string[] | undefined;
  readonly reason: string;
}

type EntryRow = Pick<EntryReport, "address" | "vm" | "isListed">;

/** Reads JSON over HTTP; throws on failure. */
export type ReadJson = (url: string, token: string) => Promise<unknown>;

export interface RevisionWaitOptions {
  readonly operator: OperatorSettings;
  readonly revision: Position;
  readonly timeoutMs: number;
  readonly readJson: ReadJson;
  readonly clock: Clock;
  readonly sleep: Sleep;
}

const POLL_MS = 200;
const CALL_TIMEOUT_MS = 2000;

const vmListSchema = z.object({ vms: z.array(vmSchema) });
const statusSchema = z.object({
  vm: z.string(),
  revision: z.number().int().min(0),
  members: z.array(z.object({ vm: z.string() })).optional(),
});

/** Reads JSON over HTTP, authenticated with the operator token. */
export async function readJsonByHttp(
  url: string,
  token: string,
): Promise<unknown> {
  const response = await request(url, {
    headers: token === "" ? {} : { authorization: `Bearer ${token}` },
    headersTimeout: CALL_TIMEOUT_MS,
    bodyTimeout: CALL_TIMEOUT_MS,
  });
  const body = await response.body.text();
  if (response.statusCode === 200) return JSON.parse(body);
  throw new Error(`${url} answered ${response.statusCode}`);
}

/**
 * Polls all entry VMs until they have the revision or the timeout expires, and
 * returns the last reports.
 */
export async function waitUntilInForce(
  options: RevisionWaitOptions,
): Promise<EntryReport[]> {
  const { clock, sleep, revision, timeoutMs } = options;
  const deadlineMs = clock() + timeoutMs;
  while (true) {
    const rows = await listEntries(options);
    const reports = await Promise.all(
      rows.map((row) => queryEntry(row, options)),
    );
    const isInForce = reports.length > 0 &&
      laggingEntries(reports, revision).length === 0;
    if (isInForce || clock() >= deadlineMs) return reports;
    await sleep(POLL_MS);
  }
}

/** Returns the reports of live VMs that do not have the revision yet. */
export function laggingEntries(
  reports: readonly EntryReport[],
  revision: Position,
): EntryReport[] {
  return reports.filter((report) =>
    (report.revision ?? -1) < revision && !isDeadByMembership(report, reports)
  );
}

/**
 * Whether a listed VM did not respond and is missing from all reported member
 * lists; `false` if no VM reported one.
 */
export function isDeadByMembership(
  report: EntryReport,
  reports: readonly EntryReport[],
): boolean {
  if (report.revision !== undefined || !report.isListed) return false;
  const memberLists = reports.flatMap((other) =>
    other.members === undefined ? [] : [other.members]
  );
  if (memberLists.length === 0) return false;
  return memberLists.every((members) => !members.includes(report.vm));
}

async function listEntries(options: RevisionWaitOptions): Promise<EntryRow[]> {
  const { entries, vmListUrl, operatorToken } = options.operator;
  const rows = new Map(
    entries.map((address): [string, EntryRow] => [
      address,
      { address, vm: address, isListed: false },
    ]),
  );
  if (vmListUrl === undefined) return [...rows.values()];
  try {
    const url = new URL("/vms", vmListUrl).href;
    const list = vmListSchema.parse(await options.readJson(url, operatorToken));
    for (const { kind, status, address, vm } of list.vms) {
      if (kind !== "entry" || status !== "live") continue;
      rows.set(address, { address, vm, isListed: true });
    }
  } catch {
    // Without the list, only the addresses that the operator named are checked.
  }
  return [...rows.values()];
}

async function queryEntry(
  row: EntryRow,
  options: RevisionWaitOptions,
): Promise<EntryReport> {
  const { address } = row;
  const url = `http://${address}/v1/admin/status`;
  try {
    const json = await options.readJson(url, options.operator.operatorToken);
    const { vm, revision, members } = statusSchema.parse(json);
    return {
      ...row,
      vm,
      revision,
      members: members?.map((member) => member.vm),
      reason: `has revision ${revision}`,
    };
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return { ...row, revision: undefined, members: undefined, reason };
  }
}
