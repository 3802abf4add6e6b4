/** One entry VM of a cluster, and what can be asked of it. */
import { fetch } from "undici";
import { type Vm } from "../src/model/mod.ts";
import { OPERATOR_TOKEN } from "./process_config.ts";
import { type Program } from "./program.ts";
import { type FaultProxy } from "./proxy.ts";
import { waitFor } from "./wait.ts";

const LISTEN_TIMEOUT_MS = 20_000;
const STATUS_TIMEOUT_MS = 2000;

/** One VM: its two processes and the links that lead to and from it. */
export interface ClusterVm {
  readonly name: string;
  readonly place: string;
  readonly entry: Program;
  readonly controller: Program | undefined;
  /** Callers to entry. */
  readonly callerLink: FaultProxy;
  readonly callerAddress: string;
  /** VM to log, for both processes. */
  readonly logLink: FaultProxy;
  readonly peerAddress: string;
  readonly httpAddress: string;
}

/** Where an entry process listens. */
export interface ListeningAddresses {
  readonly http: string;
  readonly peer: string;
}

/** Waits until a process says where it listens. */
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

/** The newest output of a program, for a failing test. */
export function outputOf(program: Program): string {
  const lines = program.lines.slice(-10).map((line) => JSON.stringify(line));
  const output = [...lines, ...program.errors.slice(-10)].join("\n");
  return `status ${program.status}, output:\n${output}`;
}

/** Whether an entry VM says that it may be handed out. */
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

/** What an entry VM says of itself. */
export interface VmStatus {
  readonly revision: number;
  /** Other entry VMs that it knows to be present. */
  readonly members: readonly unknown[];
}

/** Reads an entry VM's status, if it answers. */
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

/** The row of a VM on the list, with its address among peers. */
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
