/**
 * Collects the request counts of all entry VMs over HTTP: the current counts
 * from each VM and the recorded ones from the first VM that answers. VMs that
 * do not answer are listed with the reason.
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

/** Fetches JSON over HTTP; rejects on failure. */
export type ReadJson = (url: string) => Promise<unknown>;

/** Sources and effects of {@link collectBurn}. */
export interface CollectOptions {
  /** `host:port` of entry VMs in addition to those of the VM list. */
  readonly entries: readonly string[];
  readonly vmListUrl: string | undefined;
  readonly readJson: ReadJson;
  readonly wallClock: WallClock;
}

interface EntryAddress {
  readonly vm: string;
  readonly address: string;
}

/** Collects the counts of all entry VMs. */
export async function collectBurn(options: CollectOptions): Promise<BurnInput> {
  const { list, fault } = await listEntries(options);
  const live: VmBurn[] = [];
  const silent: UnreachableVm[] = fault === undefined ? [] : [fault];
  const results = await Promise.all(
    list.map((entry) => fetchVmBurn(entry, options)),
  );
  for (const result of results) {
    if ("reason" in result) silent.push(result);
    else if (live.every(({ vm }) => vm !== result.vm)) live.push(result);
  }
  const history = await fetchHistory(list, options);
  return { nowMs: options.wallClock(), live, history, silent };
}

/** Returns a reader that sends `token` as a bearer token, if not empty. */
export function createJsonReader(token: string): ReadJson {
  return async (url) => {
    const response = await request(url, {
      headers: token === "" ? {} : { authorization: `Bearer ${token}` },
      headersTimeout: CALL_TIMEOUT_MS,
      bodyTimeout: CALL_TIMEOUT_MS,
    });
    const chunks: Uint8Array[] = [];
    let sizeBytes = 0;
    for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
      sizeBytes += chunk.byteLength;
      if (sizeBytes > MAX_BODY_BYTES) {
        throw new Error("the response is too large");
      }
      chunks.push(chunk);
    }
    if (response.statusCode === 200) {
      return JSON.parse(Buffer.concat(chunks).toString("utf8"));
    }
    throw new Error(`status ${response.statusCode}`);
  };
}

async function listEntries(
  options: CollectOptions,
): Promise<{ list: EntryAddress[]; fault: UnreachableVm | undefined }> {
  const extra = options.entries.map((address) => ({ vm: address, address }));
  if (options.vmListUrl === undefined) return { list: extra, fault: undefined };
  try {
    const url = new URL("/vms", options.vmListUrl).href;
    const schema = z.object({ vms: z.array(vmSchema) });
    const { vms } = schema.parse(await options.readJson(url));
    const listed = vms.filter(({ kind }) => kind === "entry");
    const listedAddresses = new Set(listed.map(({ address }) => address));
    const others = extra.filter(({ address }) => !listedAddresses.has(address));
    return { list: [...listed, ...others], fault: undefined };
  } catch (error) {
    const reason = `cannot be read: ${messageOf(error)}`;
    return { list: extra, fault: { vm: "VM list", reason } };
  }
}

async function fetchVmBurn(
  entry: EntryAddress,
  options: CollectOptions,
): Promise<VmBurn | UnreachableVm> {
  try {
    const url = `http://${entry.address}/v1/admin/burn`;
    return vmBurnSchema.parse(await options.readJson(url));
  } catch (error) {
    return { vm: entry.vm, reason: messageOf(error) };
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
