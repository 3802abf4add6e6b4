/**
 * Collects the counts of all entry VMs over HTTP: the running ones from each,
 * the recorded ones from the first that answers. Whoever does not answer is
 * named.
 */
import { request } from "undici";
import { z } from "zod";
import { vmSchema } from "../model/mod.ts";
import { type UnreachableVm } from "./burn_coverage.ts";
import { type BurnInput } from "./burn_report.ts";
import {
  type BurnHistory,
  burnHistorySchema,
  type VmBurn,
  vmBurnSchema,
  type WallClock,
} from "./burn_window.ts";

const CALL_TIMEOUT_MS = 3000;
const MAX_BODY_BYTES = 32 * 1024 * 1024;

/** Reads JSON by HTTP; fails by throwing. */
export type ReadJson = (url: string) => Promise<unknown>;

/** Where to ask. */
export interface CollectOptions {
  /** `host:port` of entry VMs, beside those of the list. */
  readonly entries: readonly string[];
  readonly vmListUrl: string | undefined;
  readonly readJson: ReadJson;
  readonly wallClock: WallClock;
}

interface EntryAddress {
  readonly vm: string;
  readonly address: string;
}

/** Asks all entry VMs. */
export async function collectBurn(options: CollectOptions): Promise<BurnInput> {
  const { list, fault } = await listEntries(options);
  const live: VmBurn[] = [];
  const silent: UnreachableVm[] = fault === undefined ? [] : [fault];
  const asked = await Promise.all(list.map((at) => fetchVmBurn(at, options)));
  for (const answer of asked) {
    if ("reason" in answer) silent.push(answer);
    else if (live.every(({ vm }) => vm !== answer.vm)) live.push(answer);
  }
  const history = await fetchHistory(list, options);
  return { nowMs: options.wallClock(), live, history, silent };
}

/** Reads JSON over HTTP with the operators' token. */
export function createJsonReader(token: string): ReadJson {
  return async (url) => {
    const answer = await request(url, {
      headers: token === "" ? {} : { authorization: `Bearer ${token}` },
      headersTimeout: CALL_TIMEOUT_MS,
      bodyTimeout: CALL_TIMEOUT_MS,
    });
    const chunks: Uint8Array[] = [];
    let sizeBytes = 0;
    for await (const chunk of answer.body as AsyncIterable<Uint8Array>) {
      sizeBytes += chunk.byteLength;
      if (sizeBytes > MAX_BODY_BYTES) {
        throw new Error("the answer is too large");
      }
      chunks.push(chunk);
    }
    if (answer.statusCode === 200) {
      return JSON.parse(Buffer.concat(chunks).toString("utf8"));
    }
    throw new Error(`status ${answer.statusCode}`);
  };
}

async function listEntries(
  options: CollectOptions,
): Promise<{ list: EntryAddress[]; fault: UnreachableVm | undefined }> {
  const given = options.entries.map((address) => ({ vm: address, address }));
  if (options.vmListUrl === undefined) return { list: given, fault: undefined };
  try {
    const url = new URL("/vms", options.vmListUrl).href;
    const schema = z.object({ vms: z.array(vmSchema) });
    const { vms } = schema.parse(await options.readJson(url));
    const listed = vms.filter(({ kind }) => kind === "entry");
    const known = new Set(listed.map(({ address }) => address));
    const others = given.filter(({ address }) => !known.has(address));
    return { list: [...listed, ...others], fault: undefined };
  } catch (error) {
    const reason = `cannot be read: ${messageOf(error)}`;
    return { list: given, fault: { vm: "VM list", reason } };
  }
}

async function fetchVmBurn(
  at: EntryAddress,
  options: CollectOptions,
): Promise<VmBurn | UnreachableVm> {
  try {
    const url = `http://${at.address}/v1/admin/burn`;
    return vmBurnSchema.parse(await options.readJson(url));
  } catch (error) {
    return { vm: at.vm, reason: messageOf(error) };
  }
}

async function fetchHistory(
  list: readonly EntryAddress[],
  options: CollectOptions,
): Promise<BurnHistory | undefined> {
  for (const { address } of list) {
    try {
      const url = `http://${address}/v1/admin/burn/records`;
      return burnHistorySchema.parse(await options.readJson(url));
    } catch {
      continue;
    }
  }
  return undefined;
}

function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
