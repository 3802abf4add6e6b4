/**
 * Base class and flags of the commands that read or edit settings: opens the
 * session with the log and waits until an edit is in force on every live entry
 * VM.
 */
import { userInfo } from "node:os";
import process from "node:process";
import { Command, Flags } from "@oclif/core";
import { type Result } from "ts-results-es";
import {
  parsePath,
  type SettingsChange,
  type SettingsPath,
} from "../model/mod.ts";
import { processEffects } from "../client/effects.ts";
import { type Position } from "../state/mod.ts";
import { type CommandFault, EXIT_STATUS, faultOf } from "./exit_status.ts";
import {
  isDeadByMembership,
  laggingEntries,
  readJsonByHttp,
  waitUntilInForce,
} from "./revision_wait.ts";
import {
  type OperatorFlags,
  type OperatorSettings,
  readOperatorSettings,
} from "./operator_settings.ts";
import { OperatorSession } from "./operator_session.ts";
import { fromNeverthrow } from "./result_adapter.ts";

const MS_PER_S = 1000;
const DEFAULT_TIMEOUT_S = 30;

/** Flags of every command that reads or edits settings. */
export const operatorFlags = {
  settings: Flags.file({
    description: "JSON file with logUrl, vmListUrl, entries, operatorToken",
    env: "GOLDCRESTPOST_SETTINGS",
  }),
  "log-url": Flags.string({ description: "address of the log service" }),
  "vm-list-url": Flags.string({ description: "address of the VM list" }),
  entry: Flags.string({
    description: "host:port of an entry VM; may be repeated",
    multiple: true,
  }),
  token: Flags.string({
    description: "operator token",
    env: "GOLDCRESTPOST_TOKEN",
  }),
  timeout: Flags.integer({
    description: "seconds to wait for the log and for the VMs",
    default: DEFAULT_TIMEOUT_S,
    min: 1,
  }),
};

/** Flags of the commands that publish an edit. */
export const editFlags = {
  ...operatorFlags,
  base: Flags.integer({
    description: "revision that the edit is based on; the newest by default",
    min: 0,
  }),
  author: Flags.string({
    description: "author of the edit; the current user by default",
  }),
  note: Flags.string({
    description: "reason for the edit, shown in the history",
    default: "",
  }),
  "no-wait": Flags.boolean({
    description: "do not wait until the edit is in force on every entry VM",
  }),
};

/** Values of {@link operatorFlags}. */
export interface OperatorFlagValues extends OperatorFlags {
  readonly timeout: number;
}

/** Values of {@link editFlags}. */
export interface EditFlagValues extends OperatorFlagValues {
  readonly base?: number | undefined;
  readonly author?: string | undefined;
  readonly note: string;
  readonly "no-wait": boolean;
}

/** An open session and the settings that it was opened with. */
export interface OpenSession {
  readonly operator: OperatorSettings;
  readonly session: OperatorSession;
}

/** Base class of the commands that read or edit settings. */
export abstract class SettingsCommand extends Command {
  /** Returns the value of a result; ends the command if the result failed. */
  protected unwrapOrExit<T>(result: Result<T, CommandFault>): T {
    if (result.isOk()) return result.value;
    return this.fail(result.error);
  }

  /** Prints a fault and exits with its status. */
  protected fail(fault: CommandFault): never {
    for (const line of fault.lines) this.logToStderr(line);
    return this.exit(fault.status);
  }

  /** Parses a path argument; ends the command if the path is invalid. */
  protected parsePathArgument(text: string): SettingsPath {
    return this.unwrapOrExit(
      fromNeverthrow(parsePath(text)).mapErr((error) =>
        faultOf("faultySettings", error.message)
      ),
    );
  }

  /** Opens a session, runs `action` and always closes the session. */
  protected async withSession<T>(
    flags: OperatorFlagValues,
    action: (open: OpenSession) => Promise<T>,
  ): Promise<T> {
    const operator = this.unwrapOrExit(readOperatorSettings(flags));
    const session = this.unwrapOrExit(
      await OperatorSession.open({
        logUrl: operator.logUrl,
        timeoutMs: flags.timeout * MS_PER_S,
        effects: processEffects,
      }),
    );
    try {
      return await action({ operator, session });
    } finally {
      await session.close();
    }
  }

  /** Publishes one edit and waits until it is in force. */
  protected async publish(
    flags: EditFlagValues,
    editOf: (open: OpenSession) => {
      readonly path: SettingsPath;
      readonly change: SettingsChange;
    },
  ): Promise<void> {
    await this.withSession(flags, async (open) => {
      const decided = this.unwrapOrExit(
        await open.session.publish({
          ...editOf(open),
          base: flags.base,
          author: flags.author ?? userInfo().username,
          note: flags.note,
        }),
      );
      this.log(`revision ${decided.position} accepted`);
      if (flags["no-wait"]) return;
      await this.waitForRevision(decided.position, {
        operator: open.operator,
        flags,
      });
    });
  }

  /**
   * Waits until a revision is in force on every live entry VM. After the
   * timeout, prints the lagging VMs and ends the command.
   */
  protected async waitForRevision(
    revision: Position,
    options: {
      readonly operator: OperatorSettings;
      readonly flags: OperatorFlagValues;
    },
  ): Promise<void> {
    const { operator, flags } = options;
    const startedMs = processEffects.clock();
    const reports = await waitUntilInForce({
      operator,
      revision,
      timeoutMs: flags.timeout * MS_PER_S,
      readJson: readJsonByHttp,
      ...processEffects,
    });
    const lagging = laggingEntries(reports, revision);
    const elapsedMs = Math.round(processEffects.clock() - startedMs);
    if (reports.length > 0 && lagging.length === 0) {
      const dead = reports.filter((report) =>
        isDeadByMembership(report, reports)
      );
      const count = reports.length - dead.length;
      this.log(`in force on ${count} entry VMs after ${elapsedMs} ms`);
      for (const { vm } of dead) this.log(`not counted, found dead: ${vm}`);
      return;
    }
    const lines = lagging.map(({ vm, address, reason }) =>
      `${vm} (${address}): ${reason}`
    );
    if (reports.length === 0) lines.push("no entry VM is known");
    this.logToStderr(`revision ${revision} is not in force everywhere:`);
    this.fail({ status: EXIT_STATUS.notInForce, lines });
  }

  /** Prints a value as JSON to standard output. */
  protected printJson(value: unknown): void {
    process.stdout.write(`${JSON.stringify(value, undefined, 2)}\n`);
  }
}
