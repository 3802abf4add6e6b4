/**
 * Waits until a revision is in force on every live entry VM. The VMs come from
 * the platform's list, which lags, and from the operator; each tells its own
 * revision. One that does not answer is not taken to have it, unless every VM
 * that answers has found it dead: the list names a failed VM for a while.
 */
import { request } from "undici";
import { z } from "zod";
import { type Clock, type Sleep, vmSchema } from "../model/mod.ts";
import { type Position } from "../state/mod.ts";
import { type OperatorSettings } from "./operator_settings.ts";

/** What one entry VM said when it was asked last. */
export interface EntryReport {
  readonly address: string;
  readonly vm: string;
  readonly revision: Position | undefined;
  /** Whether the platform's list names the VM. */
  readonly isListed: boolean;
  /** Members that the VM knows to be present, where it tells. */
  readonly members: readonly string[] | undefined;
  readonly reason: string;
}

type EntryRow = Pick<EntryReport, "address" | "vm" | "isListed">;

/** Reads JSON by HTTP; fails by throwing. */
export type ReadJson = (url: string, token: string) => Promise<unknown>;

/** What the wait needs. */
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

/** Reads JSON over HTTP with the operators' token. */
export async function readJsonByHttp(
  url: string,
  token: string,
): Promise<unknown> {
  const answer = await request(url, {
    headers: token === "" ? {} : { authorization: `Bearer ${token}` },
    headersTimeout: CALL_TIMEOUT_MS,
    bodyTimeout: CALL_TIMEOUT_MS,
  });
  const body = await answer.body.text();
  if (answer.statusCode === 200) return JSON.parse(body);
  throw new Error(`${url} answered ${answer.statusCode}`);
}

/** Reports of all entry VMs once all have the revision or time is over. */
export async function waitUntilInForce(
  options: RevisionWaitOptions,
): Promise<EntryReport[]> {
  const { clock, sleep, revision, timeoutMs } = options;
  const deadlineMs = clock() + timeoutMs;
  while (true) {
    const rows = await liveEntries(options);
    const reports = await Promise.all(
      rows.map((row) => reportOf(row, options)),
    );
    const isInForce = reports.length > 0 &&
      laggingEntries(reports, revision).length === 0;
    if (isInForce || clock() >= deadlineMs) return reports;
    await sleep(POLL_MS);
  }
}

/** The reports that do not show the revision. */
export function laggingEntries(
  reports: readonly EntryReport[],
  revision: Position,
): EntryReport[] {
  return reports.filter((report) =>
    (report.revision ?? -1) < revision && !isDeadByMembership(report, reports)
  );
}

/** Whether all VMs that answer, one at least, know it as no member. */
export function isDeadByMembership(
  report: EntryReport,
  reports: readonly EntryReport[],
): boolean {
  if (report.revision !== undefined || !report.isListed) return false;
  const views = reports.flatMap((other) =>
    other.members === undefined ? [] : [other.members]
  );
  if (views.length === 0) return false;
  return views.every((members) => !members.includes(report.vm));
}

async function liveEntries(options: RevisionWaitOptions): Promise<EntryRow[]> {
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
    // The list may be down; the addresses that were given still count.
  }
  return [...rows.values()];
}

async function reportOf(
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
