/** Components of a running entry. */
import {
  type BudgetTable,
  type RequestHandler,
  type VersionSelector,
} from "../filter/mod.ts";
import { type LogJournal, type ServerDirectory } from "../client/mod.ts";
import { type BurnCounter } from "../report/burn_counter.ts";
import { type PeerNode } from "../wire/mod.ts";
import { type openVmList } from "./client_setup.ts";
import { type ProgramContext } from "./program.ts";

/** Reference to the peer node; `undefined` until the entry listens. */
export interface PeerNodeRef {
  node: PeerNode | undefined;
}

export interface EntryParts {
  readonly context: ProgramContext;
  readonly journal: LogJournal;
  readonly handler: RequestHandler;
  readonly selector: VersionSelector;
  readonly budgets: BudgetTable;
  readonly directory: ServerDirectory;
  readonly vmList: ReturnType<typeof openVmList>;
  readonly peers: PeerNodeRef;
  readonly burn: BurnCounter;
  /** Whether this VM may be advertised to callers. */
  isReady(): boolean;
}
