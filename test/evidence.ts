/**
 * What a run leaves behind: the calls of callers, the work that stand-ins saw,
 * the log's appends, and the facts of edits and leaving servers. All times are
 * of one monotonic clock, that of the process that drives the run.
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

/** One call of a caller; a request that is asked again is several calls. */
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
  /** `cut` is an answer that ended without its end marker or a refusal. */
  readonly end: "whole" | "refused" | "cut";
  readonly outcome: RefusalOutcome | undefined;
  readonly reason: string;
  readonly version: string;
  readonly text: string;
  readonly firstTokenMs: number | undefined;
}

/** A version that was withdrawn for every workspace. */
export interface Withdrawal {
  readonly version: string;
  /** When the edit was in force on every VM. */
  readonly inForceMs: number;
}

/** A backend server that left. */
export interface LeavingServer {
  readonly server: string;
  /** From when on it must receive no new work. */
  readonly fromMs: number;
}

/** The revision of one process as read from it, in order of reading. */
export interface RevisionSample {
  /** VM and process, so that a restart begins anew. */
  readonly process: string;
  readonly revision: number;
}

/** What a run left behind. */
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

/** The evidence of a run in which nothing happened. */
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
