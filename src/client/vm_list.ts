/**
 * Client of the platform's VM list. It caches the last list with its age, so
 * that the list stays available during an outage of the list service.
 */
import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import { z } from "zod";
import { type Clock, type Vm, vmSchema } from "../model/mod.ts";

const MAX_VMS = 20_000;
const MAX_BODY_BYTES = 8 * 1024 * 1024;
const REQUEST_TIMEOUT_MS = 3000;

const listSchema = z.object({ vms: z.array(vmSchema).max(MAX_VMS) });

/** The VM list could not be read. */
export class VmListError extends Error {
  override readonly name = "VmListError";
}

/** The list as last read, with its age. */
export interface VmListSnapshot {
  readonly vms: readonly Vm[];
  readonly ageMs: number;
}

export interface VmListOptions {
  readonly baseUrl: string;
  readonly clock: Clock;
  readonly timeoutMs?: number;
}

/** Reads and caches the platform's VM list. */
export class VmListClient {
  readonly #options: VmListOptions;
  #vms: readonly Vm[] | undefined;
  #readAtMs = 0;

  constructor(options: VmListOptions) {
    this.#options = options;
  }

  /** Returns the cached list; `undefined` before the first read. */
  last(): VmListSnapshot | undefined {
    if (this.#vms === undefined) return undefined;
    return {
      vms: this.#vms,
      ageMs: this.#options.clock() - this.#readAtMs,
    };
  }

  /** Reads the list again; a failure leaves the cached one in place. */
  async refresh(): Promise<Result<VmListSnapshot, VmListError>> {
    const startedAtMs = this.#options.clock();
    const read = await this.#read();
    if (read.isErr()) return err(read.error);
    this.#vms = read.value;
    this.#readAtMs = startedAtMs;
    return ok({ vms: read.value, ageMs: this.#options.clock() - startedAtMs });
  }

  async #read(): Promise<Result<readonly Vm[], VmListError>> {
    const timeoutMs = this.#options.timeoutMs ?? REQUEST_TIMEOUT_MS;
    try {
      const response = await request(`${this.#options.baseUrl}/vms`, {
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = await readBounded(response.body);
      if (response.statusCode !== 200) {
        return err(listError(`responded with status ${response.statusCode}`));
      }
      return parseList(text);
    } catch (error) {
      return err(listError(String(error)));
    }
  }
}

async function readBounded(body: AsyncIterable<Uint8Array>): Promise<string> {
  const chunks: Uint8Array[] = [];
  let sizeBytes = 0;
  for await (const chunk of body) {
    sizeBytes += chunk.byteLength;
    if (sizeBytes > MAX_BODY_BYTES) {
      throw new VmListError(`the list is over ${MAX_BODY_BYTES} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}

function parseList(text: string): Result<readonly Vm[], VmListError> {
  const parsed = listSchema.safeParse(JSON.parse(text));
  if (parsed.success) return ok(parsed.data.vms);
  const issue = parsed.error.issues[0];
  return err(listError(`${issue?.path.join(".")}: ${issue?.message}`));
}

function listError(detail: string): VmListError {
  return new VmListError(`VM list: ${detail}`);
}
