/**
 * How far one server's answer has got: since when it sends data, whether that
 * has gone on for long enough that the prompt did not end the server, and the
 * pace of its parts.
 */
import { EventPace } from "./event_pace.ts";

/** A server that crashes under a prompt ends sooner after the first data. */
const SURVIVED_MS = 500;

export interface AnswerProgressOptions {
  /** Called once when the answer has gone on for long enough. */
  readonly onSurvived: () => void;
  /** Called at most once, with the median pause between parts. */
  readonly onPace: (medianPauseMs: number) => void;
}

/** The progress of one answer. */
export class AnswerProgress {
  readonly #options: AnswerProgressOptions;
  readonly #pace = new EventPace();
  #firstDataAtMs: number | undefined;
  #hasSurvived = false;

  constructor(options: AnswerProgressOptions) {
    this.#options = options;
  }

  /** Whether any data has arrived. */
  get hasData(): boolean {
    return this.#firstDataAtMs !== undefined;
  }

  /** The median pause between parts; undefined after too few. */
  get medianPauseMs(): number | undefined {
    return this.#pace.medianMs;
  }

  /** Time since the first data; undefined before it. */
  answeredForMs(nowMs: number): number | undefined {
    return this.#firstDataAtMs === undefined
      ? undefined
      : nowMs - this.#firstDataAtMs;
  }

  /** Whether the server may have ended under the prompt, if it ended now. */
  mayHaveCrashed(nowMs: number): boolean {
    return (this.answeredForMs(nowMs) ?? 0) < SURVIVED_MS;
  }

  /** Records that data has arrived. */
  recordData(nowMs: number): void {
    this.#firstDataAtMs ??= nowMs;
    if (!this.#pace.isComplete) {
      this.#pace.recordPart(nowMs);
      if (this.#pace.isComplete) this.#tellPace();
    }
    if (this.#hasSurvived || this.mayHaveCrashed(nowMs)) return;
    this.#hasSurvived = true;
    this.#options.onSurvived();
  }

  /** Records that the answer is complete. */
  end(): void {
    if (!this.#pace.isComplete) this.#tellPace();
  }

  #tellPace(): void {
    const { medianMs } = this.#pace;
    if (medianMs !== undefined) this.#options.onPace(medianMs);
  }
}
