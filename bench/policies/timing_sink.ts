import { type AnswerSink } from "../../src/filter/mod.ts";
import { type AnswerFrame, type VersionName } from "../../src/model/mod.ts";
import { type VirtualTime } from "./virtual_time.ts";

/** Records the version and the time of the first frame of an answer. */
export class TimingSink implements AnswerSink {
  readonly #time: VirtualTime;
  version: VersionName | undefined;
  firstFrameAtMs: number | undefined;

  constructor(time: VirtualTime) {
    this.#time = time;
  }

  begin(head: { readonly version: VersionName }): void {
    this.version = head.version;
  }

  write(_frame: AnswerFrame): Promise<void> {
    this.firstFrameAtMs ??= this.#time.clock();
    return Promise.resolve();
  }
}
