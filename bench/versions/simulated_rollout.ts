/**
 * One simulated roll-out. Answers of many sessions arrive one by one at several
 * VMs, which rate a sample of them after a delay and publish their totals
 * periodically; a policy decides the steps. Version selection, statistical
 * tests and replay of records are the actual ones; answers and ratings are
 * sampled from a seeded generator.
 */
import {
  LocalStops,
  mayStart,
  planVersions,
  type SelectionInput,
  VersionWatch,
} from "../../src/decision/mod.ts";
import {
  type Random,
  REQUEST_CLASSES,
  type RequestClass,
  type RolloutPlan,
  type Settings,
  type VersionName,
} from "../../src/model/mod.ts";
import {
  ControlState,
  type LogRecord,
  type RecordOf,
} from "../../src/state/mod.ts";
import { type RolloutPolicy } from "./rollout_policy.ts";
import { type ScoreDistribution } from "./random_samples.ts";

/** One answer of the new version, with its index among all its answers. */
export interface NewVersionAnswer {
  readonly answerIndex: number;
  readonly requestClass: RequestClass;
  /** The roll-out was complete when the answer was given. */
  readonly isComplete: boolean;
}

export interface SimulationOptions {
  readonly settings: Settings;
  readonly plan: RolloutPlan;
  readonly random: Random;
  readonly answerCount: number;
  readonly vmCount: number;
  /** Share of the baseline's answers that are rated. */
  readonly ratedShare: number;
  /** Share of the new version's answers that are rated. */
  readonly newRatedShare: number;
  /** Number of answers between an answer and its rating. */
  readonly ratingDelayAnswers: number;
  /** Number of answers between two publications of the VMs' totals. */
  readonly publishPeriodAnswers: number;
  readonly meanShare: number;
  readonly deviationShare: number;
  readonly sampleScore: (
    random: Random,
    distribution: ScoreDistribution,
  ) => number;
  /** Returns the loss of mean score for an answer of the new version. */
  readonly lossOf: (answer: NewVersionAnswer) => number;
  readonly policy: RolloutPolicy;
}

export interface SimulationOutcome {
  readonly isStopped: boolean;
  readonly isCompleted: boolean;
  /** Index of the first answer after completion; Infinity if not completed. */
  readonly completedAtAnswer: number;
  /** Number of answers with a loss above the tolerated one. */
  readonly badAnswerCount: number;
  /** Share of sessions with at least one such answer. */
  readonly badSessionShare: number;
}

interface Session {
  readonly key: string;
  readonly vmIndex: number;
  readonly pinned: VersionName | undefined;
  readonly hasBadAnswer: boolean;
}

interface PendingRating {
  readonly dueAt: number;
  readonly vmIndex: number;
  readonly version: VersionName;
  readonly requestClass: RequestClass;
  readonly scoreShare: number;
}

const ACTIVE_SESSIONS = 200;
const MEAN_SESSION_ANSWERS = 8;

/** Simulates one roll-out until it is stopped or all answers were given. */
export function runRollout(options: SimulationOptions): SimulationOutcome {
  const rollout = new SimulatedRollout(options);
  for (let index = 0; index < options.answerCount; index += 1) {
    if (rollout.isStopped) break;
    rollout.answer(index);
  }
  return rollout.outcome();
}

class SimulatedRollout {
  readonly #options: SimulationOptions;
  readonly #sessions: (Session | undefined)[];
  readonly #pendingRatings: PendingRating[] = [];
  #control = ControlState.empty;
  #vms: VersionWatch[];
  #controller: VersionWatch;
  #recordCount = 0;
  #offset = 0;
  #sessionCount = 0;
  #badSessionCount = 0;
  #badAnswerCount = 0;
  #newAnswerCount = 0;
  #completedAtAnswer = Infinity;

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.#append([this.#settingsRecord()]);
    this.#vms = Array.from(
      { length: options.vmCount },
      (_, index) => VersionWatch.create(`vm-${index}`, this.#control),
    );
    this.#controller = VersionWatch.create("controller", this.#control);
    this.#sessions = Array.from({ length: ACTIVE_SESSIONS });
  }

  get isStopped(): boolean {
    return this.#verdict() === "withdraw";
  }

  /** Simulates one answer, after applying the ratings due at its index. */
  answer(index: number): void {
    this.#applyDueRatings(index);
    if (index % this.#options.publishPeriodAnswers === 0) this.#publish(index);
    if (this.#verdict() === "complete") {
      this.#completedAtAnswer = Math.min(this.#completedAtAnswer, index);
    }
    const sessionIndex = Math.floor(this.#options.random() * ACTIVE_SESSIONS);
    const session = this.#sessions[sessionIndex] ?? this.#newSession();
    const updated = this.#answerInSession(session, index);
    const hasEnded = this.#options.random() < 1 / MEAN_SESSION_ANSWERS;
    this.#sessions[sessionIndex] = hasEnded ? undefined : updated;
  }

  outcome(): SimulationOutcome {
    return {
      isStopped: this.isStopped,
      isCompleted: this.#completedAtAnswer !== Infinity,
      completedAtAnswer: this.#completedAtAnswer,
      badAnswerCount: this.#badAnswerCount,
      badSessionShare: this.#badSessionCount / Math.max(1, this.#sessionCount),
    };
  }

  #answerInSession(session: Session, index: number): Session | undefined {
    const { plan, random } = this.#options;
    const classIndex = Math.floor(random() * REQUEST_CLASSES.length);
    const requestClass = REQUEST_CLASSES[classIndex] ?? "drafting";
    const chosen = planVersions(this.#selection(session, requestClass));
    if (chosen.isErr()) return undefined;
    const version = chosen.value.first;
    const loss = version === plan.version ? this.#nextLossOf(requestClass) : 0;
    const isBad = loss > plan.toleratedLossShare;
    if (isBad) this.#badAnswerCount += 1;
    if (isBad && !session.hasBadAnswer) this.#badSessionCount += 1;
    this.#scheduleRating({ session, version, requestClass, loss, index });
    const hasBadAnswer = session.hasBadAnswer || isBad;
    return { ...session, pinned: version, hasBadAnswer };
  }

  #nextLossOf(requestClass: RequestClass): number {
    const answerIndex = this.#newAnswerCount;
    this.#newAnswerCount += 1;
    const isComplete = this.#completedAtAnswer !== Infinity;
    return this.#options.lossOf({ answerIndex, requestClass, isComplete });
  }

  #scheduleRating(
    answer: {
      readonly session: Session;
      readonly version: VersionName;
      readonly requestClass: RequestClass;
      readonly loss: number;
      readonly index: number;
    },
  ): void {
    const {
      random,
      ratingDelayAnswers: ratingDelay,
      meanShare,
      deviationShare,
    } = this.#options;
    const isNew = answer.version === this.#options.plan.version;
    const { newRatedShare, ratedShare } = this.#options;
    if (random() >= (isNew ? newRatedShare : ratedShare)) return;
    this.#pendingRatings.push({
      dueAt: answer.index + ratingDelay,
      vmIndex: answer.session.vmIndex,
      version: answer.version,
      requestClass: answer.requestClass,
      scoreShare: this.#options.sampleScore(random, {
        meanShare: meanShare - answer.loss,
        deviationShare,
      }),
    });
  }

  #applyDueRatings(index: number): void {
    while ((this.#pendingRatings[0]?.dueAt ?? Infinity) <= index) {
      const rating = this.#pendingRatings.shift();
      const watch = rating && this.#vms[rating.vmIndex];
      if (rating === undefined || watch === undefined) return;
      const updated = watch.addRating(rating, this.#control);
      this.#vms[rating.vmIndex] = updated;
      const record = this.#options.policy.onRating(updated);
      if (record !== undefined) this.#append([record]);
    }
  }

  #publish(index: number): void {
    this.#append(this.#vms.flatMap((watch, at) => this.#totalsOf(watch, at)));
    this.#controller = this.#controller.observe(this.#control);
    const record = this.#options.policy.onPublish(this.#controller, index);
    if (record !== undefined) this.#append([record]);
    this.#vms = this.#vms.map((watch) => watch.observe(this.#control));
  }

  #totalsOf(watch: VersionWatch, at: number): RecordOf<"quality">[] {
    return [...watch.ownRatings.sums()].map(
      ({ version, requestClass, sum }) => {
        this.#recordCount += 1;
        const id = `quality-${this.#recordCount}`;
        return {
          kind: "quality",
          id,
          vm: `vm-${at}`,
          version,
          requestClass,
          ...sum,
        };
      },
    );
  }

  #selection(session: Session, requestClass: RequestClass): SelectionInput {
    const watch = this.#vms[session.vmIndex] ?? this.#controller;
    const localStops = this.#options.policy.usesLocalStops
      ? watch.localStops
      : LocalStops.empty;
    const { settings } = this.#options;
    const selectionState = { settings, control: this.#control, localStops };
    const { pinned } = session;
    const isPinUsable = pinned !== undefined &&
      mayStart(pinned, selectionState);
    return {
      ...selectionState,
      quality: watch.quality,
      requestClass,
      key: session.key,
      isInSession: true,
      pinned: isPinUsable || pinned === undefined ? pinned : undefined,
      isRatingAvailable: true,
    };
  }

  #newSession(): Session {
    this.#sessionCount += 1;
    const { random, vmCount } = this.#options;
    return {
      key: `/khomas/heritage/s-${this.#sessionCount}-${random()}`,
      vmIndex: Math.floor(random() * vmCount),
      pinned: undefined,
      hasBadAnswer: false,
    };
  }

  #verdict(): string | undefined {
    return this.#control.rollouts.get(this.#options.plan.name)?.step.verdict;
  }

  #append(records: readonly LogRecord[]): void {
    this.#control = this.#control.apply({ offset: this.#offset, records });
    this.#offset += 1;
  }

  #settingsRecord(): LogRecord {
    return {
      kind: "edit",
      id: "tree",
      path: "/",
      change: { set: this.#options.settings, clear: [] },
      base: 0,
      author: "bench",
      note: "",
    };
  }
}
