/** The requests of one service that this VM has started or that wait here. */
import {
  applyFleetAdmission,
  type CapacityView,
  type FleetAdmissionEvent,
  type FleetAdmissionState,
  hasPressure,
  IDLE_ADMISSION,
  type SharedUse,
  useToShare,
  usualHoldMs,
} from "../../decision/mod.ts";
import { type Clock, type Random } from "../../model/mod.ts";
import {
  type AdmissionListeners,
  type AdmissionTicket,
  type ForwardContext,
  type ForwardRequest,
} from "../forwarding/forward_context.ts";
import { capacityView, hasRoom } from "./capacity_view.ts";

/** While requests wait, loads and reports are looked at this often. */
const TICK_MS = 20;
/** All that matters of the servers while there is room. */
const ONE_FREE_SLOT = {
  slotCount: 1,
  loadCount: 0,
  freeCount: 1,
  isKnown: true,
} as const;
/** The workspace of requests without one. */
const NO_WORKSPACE = "-";

export interface ServiceQueueOptions {
  /** The service, with the regions that its requests here allow. */
  readonly key: string;
  readonly others: () => SharedUse | undefined;
  readonly clock: Clock;
  readonly random: Random;
}

interface QueueEntry extends AdmissionListeners {
  readonly enteredAtMs: number;
  readonly context: ForwardContext;
  readonly request: ForwardRequest;
  waitedMs: number;
  startedAtMs: number | undefined;
}

export class ServiceQueue {
  readonly #options: ServiceQueueOptions;
  readonly #waiting = new Map<string, QueueEntry>();
  #state: FleetAdmissionState = IDLE_ADMISSION;
  #holdMs: number | undefined;
  #timer: NodeJS.Timeout | undefined;
  #enteredCount = 0;

  constructor(options: ServiceQueueOptions) {
    this.#options = options;
  }

  /** Starts, refuses or queues a request. */
  enter(
    context: ForwardContext,
    request: ForwardRequest,
    listeners: AdmissionListeners,
  ): AdmissionTicket {
    const requestId = String(this.#enteredCount++);
    const entry: QueueEntry = {
      ...listeners,
      enteredAtMs: this.#options.clock(),
      context,
      request,
      waitedMs: 0,
      startedAtMs: undefined,
    };
    this.#waiting.set(requestId, entry);
    this.#apply(
      { kind: "arrive", request: queuedOf(requestId, request) },
      entry,
    );
    if (this.#waiting.has(requestId)) {
      const { service } = request;
      context.metrics.count("admission_waits", { service });
      context.logger.info("request waits", {
        request: request.caller.id,
        service,
        waitingCount: this.#waiting.size,
        workspace: request.workspace?.name,
        priority: request.workspace?.priority ?? request.route.priority,
      });
      this.#startTimer();
    }
    return {
      waitedMs: () => entry.waitedMs,
      end: (isAnswered) => this.#end(requestId, entry, isAnswered),
    };
  }

  /** What this VM reports of the service; undefined while nothing presses. */
  toShare(): SharedUse | undefined {
    const { key: service, others, clock } = this.#options;
    const { waiting, use } = this.#state;
    const waitingCount = waiting.size;
    const own = useToShare(use, { service, waitingCount, nowMs: clock() });
    const isPressed = hasPressure(own) || hasPressure(others());
    return isPressed ? own : undefined;
  }

  #apply(event: FleetAdmissionEvent, entry: QueueEntry): void {
    const { others, clock, random } = this.#options;
    const { state, effects } = applyFleetAdmission(this.#state, event, {
      nowMs: clock(),
      view: this.#viewFor(event, entry),
      others: others(),
      random,
    });
    this.#state = state;
    for (const effect of effects) {
      const waiting = this.#waiting.get(effect.requestId);
      if (waiting === undefined) continue;
      this.#waiting.delete(effect.requestId);
      waiting.waitedMs = clock() - waiting.enteredAtMs;
      if (effect.kind === "refuse") waiting.onRefuse(effect.retryAfterMs);
      else this.#start(waiting);
    }
  }

  /** While there is room the first server with a free slot is enough. */
  #viewFor(
    event: FleetAdmissionEvent,
    { context, request }: QueueEntry,
  ): CapacityView {
    const meanMs = context.fleet.meanServiceTimeMs(request.service);
    const holdMs = this.#holdMs ?? meanMs;
    const isStreaming = request.route.kind === "streaming";
    const times = { holdMs, answerMs: isStreaming ? meanMs : holdMs };
    const isFirst = event.kind === "arrive" && this.#state.waiting.isEmpty();
    const mayStart = isFirst && !hasPressure(this.#options.others());
    if (mayStart && hasRoom(context, request)) {
      return { ...ONE_FREE_SLOT, ...times };
    }
    return capacityView(context, request, times);
  }

  #start(entry: QueueEntry): void {
    const { context, request, waitedMs } = entry;
    entry.startedAtMs = this.#options.clock();
    if (waitedMs > 0) {
      const { service } = request;
      context.metrics.time("admission_wait_ms", {
        durationMs: waitedMs,
        service,
      });
    }
    entry.onStart();
  }

  #end(requestId: string, entry: QueueEntry, isAnswered: boolean): void {
    const isWaiting = this.#waiting.delete(requestId);
    if (isWaiting) return this.#apply({ kind: "leave", requestId }, entry);
    if (isAnswered && entry.startedAtMs !== undefined) {
      const holdMs = this.#options.clock() - entry.startedAtMs;
      this.#holdMs = usualHoldMs(this.#holdMs, holdMs);
    }
    this.#tick();
  }

  #tick(): void {
    const [first] = this.#waiting.values();
    if (first !== undefined) this.#apply({ kind: "tick" }, first);
  }

  #startTimer(): void {
    if (this.#timer !== undefined) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#tick();
      if (this.#waiting.size > 0) this.#startTimer();
    }, TICK_MS);
  }
}

function queuedOf(
  requestId: string,
  { caller, route, workspace, digest, receivedAtMs }: ForwardRequest,
): Extract<FleetAdmissionEvent, { kind: "arrive" }>["request"] {
  const limitMs = Math.min(caller.deadlineMs ?? Infinity, route.timeoutMs);
  return {
    requestId,
    workspace: workspace?.name ?? NO_WORKSPACE,
    priority: workspace?.priority ?? route.priority,
    digest,
    arrivedAtMs: receivedAtMs,
    targetMs: route.targetMs,
    deadlineAtMs: receivedAtMs + limitMs,
  };
}
