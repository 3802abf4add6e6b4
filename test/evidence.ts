/**
 * The evidence of a run: the calls of callers, the work received by stand-ins,
 * the log's appends, withdrawals and leaving servers. All times are read from
 * the monotonic clock of the process that drives the run.
 */
import {
  type RefusalOutcome,
  type RequestClass,
  type SettingsPath,
  type SettingsTree,
} from "../src/model/mod.ts";
import {
  type RecordedAppend,
  type RecordedAttempt,
  type RecordedRun,
} from "../standin/mod.ts";

/** The promises that a run is checked against. */
export type PromiseName =
  | "whole_answer"
  | "no_lost_answer"
  | "at_most_once"
  | "one_bill"
  | "allowed_version"
  | "withdrawn_version"
  | "session_version"
  | "true_refusal"
  | "leaving_server"
  | "revision_order";

/** One broken promise. */
export interface Violation {
  readonly promise: PromiseName;
  readonly subject: string;
  readonly detail: string;
}

/** One call of a caller; each retry of a request is a call of its own. */
export interface CallRecord {
  readonly requestId: string;
  readonly kind: "model" | "service";
  readonly requestClass: RequestClass;
  readonly workspace: SettingsPath;
  readonly session: string | undefined;
  readonly key: string | undefined;
  readonly maxTokens: number;
  readonly sentMs: number;
  readonly endedMs: number;
  /** `cut`: the answer ended with neither its end marker nor a refusal. */
  readonly end: "whole" | "refused" | "cut";
  readonly outcome: RefusalOutcome | undefined;
  readonly reason: string;
  readonly version: string;
  readonly text: string;
  readonly firstTokenMs: number | undefined;
  /** Address of the entry VM. */
  readonly entry: string;
  /** The error that ended the connection; empty if there was none. */
  readonly cause: string;
}

/** A version that was withdrawn for every workspace. */
export interface Withdrawal {
  readonly version: string;
  /** Time at which the edit was in force on every VM. */
  readonly inForceMs: number;
}

/** A backend server that was marked as leaving. */
export interface LeavingServer {
  readonly server: string;
  /** Time after which it must receive no new work. */
  readonly fromMs: number;
}

/** A revision read from a process; samples are in order of reading. */
export interface RevisionSample {
  /** VM and address, so that a restarted process counts as another. */
  readonly process: string;
  readonly revision: number;
}

/** Everything recorded during a run. */
export interface Evidence {
  readonly calls: readonly CallRecord[];
  readonly attempts: readonly RecordedAttempt[];
  readonly runs: readonly RecordedRun[];
  readonly appends: readonly RecordedAppend[];
  readonly tree: SettingsTree;
  readonly withdrawals: readonly Withdrawal[];
  readonly leavingServers: readonly LeavingServer[];
  readonly revisions: readonly RevisionSample[];
}

/** Returns the evidence of a run without any activity. */
export function emptyEvidence(tree: SettingsTree): Evidence {
  return {
    calls: [],
    attempts: [],
    runs: [],
    appends: [],
    tree,
    withdrawals: [],
    leavingServers: [],
    revisions: [],
  };
}
