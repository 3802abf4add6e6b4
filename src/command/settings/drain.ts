/** `goldcrestpost settings drain` takes a place or backend server out. */
import { Flags } from "@oclif/core";
import { type NodeSettings, ROOT_PATH } from "../../model/mod.ts";
import { editFlags, SettingsCommand } from "../base.ts";
import { checkNode } from "../settings_check.ts";
import { faultOf } from "../exit_status.ts";

/** The command that drains places and backend servers. */
export class DrainCommand extends SettingsCommand {
  static override readonly summary: string =
    "Give a place or a backend server no new work";

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
      const set = drainSettings(root, flags);
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

function drainSettings(root: NodeSettings, flags: DrainFlags): NodeSettings {
  const { place, server, undo } = flags;
  if (place !== undefined) {
    const drainedPlaces = toggled(root.drainedPlaces, { name: place, undo });
    return { drainedPlaces };
  }
  const name = server ?? "";
  return { drainedServers: toggled(root.drainedServers, { name, undo }) };
}

function toggled(
  names: readonly string[] = [],
  { name, undo }: { readonly name: string; readonly undo: boolean },
): string[] {
  const others = names.filter((other) => other !== name);
  return undo ? others : [...others, name];
}
