/**
 * Reads the bodies of callers' requests, within the limits and the memory. Where
 * memory is short, the request whose body began last is refused, so that what has
 * been read of the others is not read in vain; but first one that takes longer
 * than a caller may stay idle, which could keep its memory for ever.
 */
import { type IncomingMessage } from "node:http";
import { ByteCollector, type CallerLimits } from "../../model/mod.ts";
import { type CallerExchange } from "./caller_exchange.ts";
import { ReadTimeout } from "../read_timeout.ts";
import {
  BODY_DRAIN_MS,
  type RequestFault,
  type UnreadRequests,
} from "./unread_request.ts";
import { type VmMemory } from "./vm_memory.ts";

export const BUSY: RequestFault = {
  status: 503,
  reason: "busy",
  retryAfterMs: BODY_DRAIN_MS,
};
export const BODY_TOO_LARGE: RequestFault = {
  status: 413,
  reason: "body_too_large",
};
const BODY_TIMEOUT: RequestFault = { status: 408, reason: "body_timeout" };

export interface BodyReaderOptions {
  readonly memory: VmMemory;
  readonly limits: () => CallerLimits;
  readonly unread: UnreadRequests;
  readonly clock: () => number;
}

/** A body that has not been received completely. */
interface ArrivingBody {
  readonly startedAtMs: number;
  readonly stop: (fault: RequestFault) => void;
}

export class BodyReader {
  readonly #options: BodyReaderOptions;
  /** In the order in which they began. */
  readonly #arriving: ArrivingBody[] = [];

  constructor(options: BodyReaderOptions) {
    this.#options = options;
  }

  /** Whether there is or can be made room for a body of a stated length. */
  hasRoom(statedBytes: number): boolean {
    return this.#makeRoom(statedBytes, () => this.#longestArriving());
  }

  /** Reads a body and passes it on; refuses the request beyond a limit. */
  read(
    request: IncomingMessage,
    exchange: CallerExchange,
    onBody: (body: Buffer) => void,
  ): void {
    const { memory, limits, unread, clock } = this.#options;
    const collector = new ByteCollector();
    let takenBytes = 0;
    const release = (): void => {
      memory.release("bodies", takenBytes);
      takenBytes = 0;
    };
    const { maxBodyBytes, idleTimeoutMs } = limits();
    const end = (): void => {
      idle.stop();
      const index = this.#arriving.lastIndexOf(body);
      if (index >= 0) this.#arriving.splice(index, 1);
    };
    const stop = (fault: RequestFault): void => {
      end();
      request.removeAllListeners("data").removeAllListeners("end");
      release();
      unread.refuse(request, exchange, fault);
    };
    const body: ArrivingBody = { startedAtMs: clock(), stop };
    const idle = new ReadTimeout(idleTimeoutMs, () => stop(BODY_TIMEOUT));
    this.#arriving.push(body);
    request.on("data", (chunk: Buffer) => {
      idle.restart();
      collector.add(chunk);
      memory.take("bodies", collector.takenBytes - takenBytes);
      takenBytes = collector.takenBytes;
      if (collector.length > maxBodyBytes) return stop(BODY_TOO_LARGE);
      this.#makeRoom(0, () => this.#longestArriving() ?? this.#lastArriving());
    });
    exchange.releaseWhenClosed(() => {
      end();
      release();
    });
    request.on("end", () => {
      end();
      if (!exchange.isOver) onBody(collector.concat());
    });
  }

  /** Refuses requests while there is no room; returns whether there is. */
  #makeRoom(bytes: number, choose: () => ArrivingBody | undefined): boolean {
    const { memory } = this.#options;
    while (!memory.hasRoom("bodies", bytes)) {
      const body = choose();
      if (body === undefined) return false;
      body.stop(this.#isLong(body) ? BODY_TIMEOUT : BUSY);
    }
    return true;
  }

  #longestArriving(): ArrivingBody | undefined {
    const [first] = this.#arriving;
    return first !== undefined && this.#isLong(first) ? first : undefined;
  }

  #lastArriving(): ArrivingBody | undefined {
    return this.#arriving.at(-1);
  }

  #isLong({ startedAtMs }: ArrivingBody): boolean {
    const { clock, limits } = this.#options;
    return clock() - startedAtMs > limits().idleTimeoutMs;
  }
}
