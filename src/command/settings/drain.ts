/** `goldcrestpost settings drain` drains a place or a backend server. */
import { Flags } from "@oclif/core";
import { type NodeSettings, ROOT_PATH } from "../../model/mod.ts";
import { editFlags, SettingsCommand } from "../base.ts";
import { checkNode } from "../settings_check.ts";
import { faultOf } from "../exit_status.ts";

/** Drains places and backend servers. */
export class DrainCommand extends SettingsCommand {
  static override readonly summary: string =
    "Stop sending new work to a place or a backend server";

  static override readonly flags = {
    ...editFlags,
    place: Flags.string({
      description: "place to drain",
      exactlyOne: ["place", "server"],
    }),
    server: Flags.string({ description: "backend server to drain" }),
    undo: Flags.boolean({ description: "end the drain" }),
  };

  /** Publishes the edit and waits until it is in force. */
  async run(): Promise<void> {
    const { flags } = await this.parse(DrainCommand);
    await this.publish(flags, ({ session }) => {
      const root = session.control.tree.nodeAt(ROOT_PATH);
      const set = drainChange(root, flags);
      this.unwrapOrExit(
        checkNode(ROOT_PATH, set).mapErr((lines) =>
          faultOf("faultySettings", ...lines)
        ),
      );
      return { path: ROOT_PATH, change: { set, clear: [] } };
    });
  }
}

interface DrainFlags {
  readonly place?: string | undefined;
  readonly server?: string | undefined;
  readonly undo: boolean;
}

function drainChange(root: NodeSettings, flags: DrainFlags): NodeSettings {
  const { place, server, undo } = flags;
  if (place !== undefined) {
    const drainedPlaces = withDrainState(root.drainedPlaces, {
      name: place,
      undo,
    });
    return { drainedPlaces };
  }
  const name = server ?? "";
  return {
    drainedServers: withDrainState(root.drainedServers, { name, undo }),
  };
}

function withDrainState(
  names: readonly string[] = [],
  { name, undo }: { readonly name: string; readonly undo: boolean },
): string[] {
  const others = names.filter((other) => other !== name);
  return undo ? others : [...others, name];
}
