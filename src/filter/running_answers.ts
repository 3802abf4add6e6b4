/**
 * Registry of the running answers, used to end those of a version withdrawn
 * with "stop" as soon as the withdrawal arrives. Bounded by admission.
 */
import {
  type SettingsPath,
  type VersionName,
  withdrawalOf,
} from "../model/mod.ts";
import { type SettingsReader } from "./context.ts";
import { type RequestLifetime } from "./request_lifetime.ts";

export interface RunningAnswer {
  readonly path: SettingsPath;
  readonly version: VersionName;
  readonly lifetime: RequestLifetime;
}

/** The running answers of this VM. */
export class RunningAnswers {
  readonly #running = new Set<RunningAnswer>();

  /** Adds a running answer; the returned function removes it. */
  add(answer: RunningAnswer): () => void {
    this.#running.add(answer);
    return () => this.#running.delete(answer);
  }

  /** Ends the answers whose version is withdrawn with "stop". */
  stopWithdrawn(settings: SettingsReader): void {
    for (const { path, version, lifetime } of this.#running) {
      const withdrawal = withdrawalOf(settings(path), version);
      if (withdrawal?.running === "stop") lifetime.end("withdrawn");
    }
  }
}
