/** Which versions requests may run on. */
import { type VersionGuide } from "./forward_context.ts";

/** The roll-outs that this VM knows of. */
export class RolloutBook implements VersionGuide {
  acceptorOf(): (version: string) => boolean {
    return () => true;
  }

  note(): void {}

  noteInFlight(): void {}
}
