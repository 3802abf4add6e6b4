/**
 * The answers that run now, so that those of a version withdrawn with "stop"
 * are ended when the withdrawal arrives. Bounded by admission.
 */
import {
  type SettingsPath,
  type VersionName,
  withdrawalOf,
} from "../model/mod.ts";
import { type SettingsReader } from "./context.ts";
import { type RequestLifetime } from "./request_lifetime.ts";

/** One running answer. */
export interface RunningAnswer {
  readonly path: SettingsPath;
  readonly version: VersionName;
  readonly lifetime: RequestLifetime;
}

/** The answers that run now. */
export class RunningAnswers {
  readonly #running = new Set<RunningAnswer>();

  /** Notes that an answer runs; the function returned notes its end. */
  add(answer: RunningAnswer): () => void {
    this.#running.add(answer);
    return () => this.#running.delete(answer);
  }

  /** Ends the answers whose version is withdrawn with "stop". */
  stopWithdrawn(settings: SettingsReader): void {
    for (const { path, version, lifetime: life } of this.#running) {
      const withdrawal = withdrawalOf(settings(path), version);
      if (withdrawal?.running === "stop") life.end("withdrawn");
    }
  }
}
