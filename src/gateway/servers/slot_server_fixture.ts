/** A backend server of a plain service in virtual time: slots and a queue. */
import { type BackendServer } from "../../model/mod.ts";
import { type BackendLoad } from "../protocol.ts";

/** How a server answers one request. */
export interface AnswerQuality {
  readonly workFactor: number;
  readonly isError: boolean;
}

/** A request on its way to a server. */
export interface QueuedJob {
  readonly sentAtMs: number;
  /** One way to the server. */
  readonly wayMs: number;
}

/** A request that the caller has the answer to. */
export interface AnsweredJob<Job> {
  readonly job: Job;
  readonly quality: AnswerQuality;
}

interface RunningJob<Job> extends AnsweredJob<Job> {
  readonly endsAtMs: number;
}

/** What a server does with its requests. */
export interface SlotServerOptions {
  readonly workMs: () => number;
  readonly qualityOf: (runningCount: number) => AnswerQuality;
}

/** One server. */
export class SlotServer<Job extends QueuedJob> {
  readonly server: BackendServer;
  readonly #options: SlotServerOptions;
  readonly #running = new Set<RunningJob<Job>>();
  readonly #queue: Job[] = [];

  constructor(server: BackendServer, options: SlotServerOptions) {
    this.server = server;
    this.#options = options;
  }

  get load(): BackendLoad {
    return {
      runningCount: this.#running.size,
      waitingCount: this.#queue.length,
      slownessPercent: undefined,
    };
  }

  /** Sends a request to the server. */
  send(job: Job): void {
    this.#queue.push(job);
  }

  /** Ends requests and calls `onAnswer` for each, then begins waiting ones. */
  advance(
    nowMs: number,
    onAnswer: (answered: AnsweredJob<Job>) => void,
  ): void {
    for (const running of this.#running) {
      if (nowMs < running.endsAtMs) continue;
      this.#running.delete(running);
      onAnswer(running);
    }
    while (this.#running.size < this.server.slotCount) {
      const [job] = this.#queue;
      if (job === undefined || nowMs < job.sentAtMs + job.wayMs) return;
      this.#queue.shift();
      const quality = this.#options.qualityOf(this.#running.size + 1);
      const workMs = quality.workFactor * this.#options.workMs();
      this.#running.add({ job, quality, endsAtMs: nowMs + workMs + job.wayMs });
    }
  }
}
