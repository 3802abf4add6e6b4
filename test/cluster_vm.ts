/** One entry VM of a cluster and the queries that tests send to it. */
import { fetch } from "undici";
import { type Vm } from "../src/model/mod.ts";
import { OPERATOR_TOKEN } from "./process_config.ts";
import { type Program } from "./program.ts";
import { type FaultProxy } from "./proxy.ts";
import { waitFor } from "./wait.ts";

const LISTEN_TIMEOUT_MS = 20_000;
const STATUS_TIMEOUT_MS = 2000;

/** One VM: its two processes and the links to and from it. */
export interface ClusterVm {
  readonly name: string;
  readonly place: string;
  readonly entry: Program;
  readonly controller: Program | undefined;
  /** Link from callers to the entry process. */
  readonly callerLink: FaultProxy;
  readonly callerAddress: string;
  /** Link from both processes to the log. */
  readonly logLink: FaultProxy;
  readonly peerAddress: string;
  readonly httpAddress: string;
}

/** Listening addresses of an entry process. */
export interface ListeningAddresses {
  readonly http: string;
  readonly peer: string;
}

/** Waits for the `listening` log line of an entry process. */
export async function listeningAddresses(
  program: Program,
): Promise<ListeningAddresses> {
  return await waitFor(() => {
    if (program.hasExited) throw new Error(outputOf(program));
    const line = program.lines.find((one) => one["event"] === "listening");
    if (line === undefined) return undefined;
    const http = String(line["httpAddress"] ?? "");
    return { http, peer: String(line["peerAddress"] ?? "") };
  }, { what: "listening process", timeoutMs: LISTEN_TIMEOUT_MS });
}

/** Returns the last lines of a program's output, for a failure message. */
export function outputOf(program: Program): string {
  const lines = program.lines.slice(-10).map((line) => JSON.stringify(line));
  const output = [...lines, ...program.errors.slice(-10)].join("\n");
  return `status ${program.status}, output:\n${output}`;
}

/**
 * Returns `true` if the readiness endpoint answers 200, otherwise `undefined`.
 * Throws if the entry process has exited.
 */
export async function isReady(vm: ClusterVm): Promise<true | undefined> {
  if (vm.entry.hasExited) throw new Error(outputOf(vm.entry));
  try {
    const answer = await fetch(`http://${vm.httpAddress}/readyz`);
    await answer.body?.cancel();
    return answer.status === 200 ? true : undefined;
  } catch {
    return undefined;
  }
}

/** The fields read from an entry VM's status endpoint. */
export interface VmStatus {
  readonly revision: number;
  /** The other entry VMs in its membership. */
  readonly members: readonly unknown[];
}

/** Reads an entry VM's status; `undefined` if it does not answer 200. */
export async function statusOf(vm: ClusterVm): Promise<VmStatus | undefined> {
  try {
    const answer = await fetch(`http://${vm.httpAddress}/v1/admin/status`, {
      headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
      signal: AbortSignal.timeout(STATUS_TIMEOUT_MS),
    });
    if (answer.status !== 200) return undefined;
    return await answer.json() as VmStatus;
  } catch {
    return undefined;
  }
}

/** Returns the row of a VM on a VM list, with its address for peers. */
export function vmListRowOf(vm: ClusterVm, peerAddress: string): Vm {
  return {
    vm: vm.name,
    kind: "entry",
    service: "",
    place: vm.place,
    address: vm.callerAddress,
    peerAddress,
    status: "live",
  };
}
