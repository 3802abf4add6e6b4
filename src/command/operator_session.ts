/**
 * An operator's session with the log: reads the control state up to the end of
 * the log, appends edits and decides them by replay, as every VM does.
 */
import { randomUUID } from "node:crypto";
import { Err, Ok, type Result } from "ts-results-es";
import {
  noMetrics,
  type SettingName,
  type SettingsChange,
  type SettingsPath,
  silentLogger,
} from "../model/mod.ts";
import { type Effects } from "../client/effects.ts";
import {
  createLogJournal,
  type JournalError,
  type LogJournal,
  type LogTransport,
} from "../client/mod.ts";
import {
  type ControlState,
  type DecidedEdit,
  type Position,
  type RecordOf,
} from "../state/mod.ts";
import { type CommandFault, faultOf } from "./exit_status.ts";
import { fromNeverthrow } from "./result_adapter.ts";

/** An edit requested by an operator. */
export interface EditRequest {
  readonly path: SettingsPath;
  readonly change: SettingsChange;
  /** Revision that the edit is based on; the newest by default. */
  readonly base: Position | undefined;
  readonly author: string;
  readonly note: string;
}

export interface SessionOptions {
  readonly logUrl: string;
  readonly timeoutMs: number;
  readonly effects: Effects;
  /** Transport of calls to the log; HTTP by default. */
  readonly transport?: LogTransport;
}

const APPENDS_PER_SECOND = 50;
const QUEUE_LIMIT = 64;

export class OperatorSession {
  readonly #journal: LogJournal;
  readonly #timeoutMs: number;

  private constructor(journal: LogJournal, timeoutMs: number) {
    this.#journal = journal;
    this.#timeoutMs = timeoutMs;
  }

  /** Opens a session after reading the control stream to its end. */
  static async open(
    options: SessionOptions,
  ): Promise<Result<OperatorSession, CommandFault>> {
    const journal = createLogJournal({
      ...options,
      ...options.effects,
      requestShards: 0,
      billShards: 0,
      readsBills: false,
      writesCheckpoints: false,
      appendBudgetPerSecond: APPENDS_PER_SECOND,
      writerCount: () => 1,
      queueLimit: QUEUE_LIMIT,
      retentionMs: Number.POSITIVE_INFINITY,
      logger: silentLogger,
      metrics: noMetrics,
    });
    journal.start();
    const session = new OperatorSession(journal, options.timeoutMs);
    if (await journal.whenCaughtUp(options.timeoutMs)) return Ok(session);
    await journal.close();
    return Err(
      faultOf(
        "unavailable",
        `${options.logUrl}: the log service is unavailable`,
      ),
    );
  }

  /** Latest control state. */
  get control(): ControlState {
    return this.#journal.control();
  }

  /** Appends an edit and returns it after replay has accepted it. */
  async publish(
    request: EditRequest,
  ): Promise<Result<DecidedEdit, CommandFault>> {
    const fault = this.#validate(request);
    if (fault !== undefined) return Err(fault);
    const edit = this.#editOf(request);
    const appended = await this.#journal.append(edit, edit.path, {
      timeoutMs: this.#timeoutMs,
    });
    if (appended.isErr()) return Err(appendFault(appended.error, edit));
    const decided = this.control.editOf(edit.id);
    if (decided === undefined) {
      return Err(
        faultOf("unknown", `edit ${edit.id} is no longer in the history`),
      );
    }
    return this.#resultOf(decided);
  }

  close(): Promise<void> {
    return this.#journal.close();
  }

  #editOf(request: EditRequest): RecordOf<"edit"> {
    const base = request.base ?? this.control.revision;
    const { set, clear } = request.change;
    const change = { set, clear: [...clear] };
    return { ...request, change, base, id: randomUUID(), kind: "edit" };
  }

  #validate({ path, change }: EditRequest): CommandFault | undefined {
    const applied = fromNeverthrow(this.control.tree.apply(path, change));
    if (applied.isOk()) return undefined;
    return faultOf("faultySettings", applied.error.message);
  }

  #resultOf(decided: DecidedEdit): Result<DecidedEdit, CommandFault> {
    switch (decided.verdict) {
      case "accepted":
        return Ok(decided);
      case "invalid":
        return Err(faultOf("faultySettings", decided.reason));
      case "conflict":
        return Err(faultOf("conflict", ...this.#conflictLines(decided)));
    }
  }

  #conflictLines(decided: DecidedEdit): string[] {
    const { history, tree } = this.control;
    const winner = history.find(({ position }) => position === decided.wonBy);
    const lines = [`${decided.edit.path}: ${decided.reason}`];
    if (winner !== undefined) {
      const { author, path, note } = winner.edit;
      const reason = note === "" ? "" : `, "${note}"`;
      const revision = `revision ${winner.position}`;
      lines.push(`${author} won with ${revision} at ${path}${reason}`);
    }
    const currentValues = tree.resolve(decided.edit.path).values;
    const { set, clear } = decided.edit.change;
    for (const name of [...Object.keys(set), ...clear] as SettingName[]) {
      const requestedValue = name in set
        ? JSON.stringify(set[name])
        : "inherited";
      lines.push(`  ${name}: yours ${requestedValue}`);
      lines.push(`  ${name}: now   ${JSON.stringify(currentValues[name])}`);
    }
    return lines;
  }
}

function appendFault(
  error: JournalError,
  edit: RecordOf<"edit">,
): CommandFault {
  if (error.fault !== "unknown") {
    return faultOf("unavailable", `nothing was changed: ${error.message}`);
  }
  return faultOf(
    "unknown",
    `edit ${edit.id} may come into force: ${error.message}`,
    "check with: goldcrestpost settings history",
  );
}
