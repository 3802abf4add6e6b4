/**
 * Appends the steps of roll-outs, decided from records alone. A step's record
 * names the step it follows, so several of these controllers may run at once. A
 * step that withdraws a version is followed by an edit of the root that makes
 * the withdrawal permanent. Any controller retries the edit until the tree
 * contains it, whichever process appended the step.
 */
import {
  type RolloutDecision,
  stepRecordOf,
  VersionWatch,
} from "../decision/mod.ts";
import { ROOT_PATH, type VersionName, withdrawalOf } from "../model/mod.ts";
import { type Journal } from "../client/journal.ts";
import { type ControlState, type RecordOf } from "../state/mod.ts";
import { type Controller, type ControllerContext } from "./controller_set.ts";

/** Author of the edits that withdraw versions after a failed roll-out. */
export const ROLLOUT_AUTHOR = "rollout-controller";

/** Options of the roll-out controller. */
export interface RolloutControllerOptions {
  readonly journal: Journal;
  readonly periodMs: number;
  readonly appendTimeoutMs: number;
}

/** Creates the roll-out controller. */
export function createRolloutController(
  options: RolloutControllerOptions,
): Controller {
  const { journal, periodMs } = options;
  let watch = VersionWatch.create("", journal.control());

  async function append(
    record: RecordOf<"rollout_step"> | RecordOf<"edit">,
    context: ControllerContext,
  ): Promise<void> {
    const appended = await journal.append(record, "", {
      timeoutMs: options.appendTimeoutMs,
    });
    if (appended.isOk()) return;
    context.logger.warn("roll-out record not confirmed", {
      record: record.id,
      fault: appended.error.fault,
    });
  }

  async function appendStep(
    decision: RolloutDecision,
    context: ControllerContext,
  ): Promise<void> {
    const record = stepRecordOf(decision.verdict, decision.input);
    if (record === undefined) return;
    context.logger.info("roll-out step", {
      rollout: record.rollout,
      verdict: record.verdict,
      stepIndex: record.stepIndex,
      reason: record.reason,
    });
    context.metrics.count("rollout.step", 1, { verdict: record.verdict });
    await append(record, context);
  }

  async function run(context: ControllerContext): Promise<void> {
    watch = watch.observe(journal.control());
    for (const decision of watch.decisions) await appendStep(decision, context);
    for (const edit of dueWithdrawals(journal.control())) {
      await append(edit, context);
    }
  }

  return { name: "rollout", periodMs, run };
}

/** Returns the edit for the next withdrawal that the root lacks, if any. */
export function dueWithdrawals(control: ControlState): RecordOf<"edit">[] {
  const root = control.tree.resolve(ROOT_PATH).values;
  const edits: RecordOf<"edit">[] = [];
  for (const plan of root.rollouts) {
    const progress = control.rollouts.get(plan.name);
    if (progress?.step.verdict !== "withdraw") continue;
    const { version, reason } = progress.step;
    if (withdrawalOf(root, version) !== undefined) continue;
    if (hasLaterEdit(control, { version, after: progress.position })) continue;
    edits.push(withdrawalEdit(control, { version, reason }));
  }
  return edits.slice(0, 1);
}

/**
 * Whether the withdrawal was accepted after the step; if the root lacks it now,
 * an operator has undone it.
 */
function hasLaterEdit(
  control: ControlState,
  options: { readonly version: VersionName; readonly after: number },
): boolean {
  return control.history.some((entry) =>
    entry.position > options.after && entry.verdict === "accepted" &&
    entry.edit.author === ROLLOUT_AUTHOR &&
    (entry.edit.change.set.withdrawn ?? []).some((item) =>
      item.version === options.version
    )
  );
}

function withdrawalEdit(
  control: ControlState,
  options: { readonly version: VersionName; readonly reason: string },
): RecordOf<"edit"> {
  const { version } = options;
  const withdrawn = control.tree.nodeAt(ROOT_PATH).withdrawn ?? [];
  return {
    kind: "edit",
    id: `withdraw-${version.replace("@", ":")}-${control.revision}`,
    path: ROOT_PATH,
    change: {
      set: { withdrawn: [...withdrawn, { version, running: "finish" }] },
      clear: [],
    },
    base: control.revision,
    author: ROLLOUT_AUTHOR,
    note: options.reason,
  };
}
