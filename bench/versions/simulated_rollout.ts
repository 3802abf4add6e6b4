/**
 * One simulated roll-out: the answers of many sessions arrive one by one at
 * several VMs, which rate a sample of them late and publish their totals now
 * and then; a policy takes the steps. Selection, tests and replay of records
 * are those of the product; only answers and ratings are drawn from a seed.
 */
import {
  candidateVersions,
  LocalStops,
  mayStart,
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

/** One answer of the new version, counted over all its answers. */
export interface NewVersionAnswer {
  readonly answerIndex: number;
  readonly requestClass: RequestClass;
  readonly isComplete: boolean;
}

/** How a simulated roll-out is set up. */
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
  /** Answers that arrive between an answer and its rating. */
  readonly ratingDelayAnswers: number;
  /** Answers between two publications of the VMs' totals. */
  readonly publishPeriodAnswers: number;
  readonly meanShare: number;
  readonly deviationShare: number;
  readonly sampleScore: (random: Random, draw: ScoreDistribution) => number;
  /** Loss of mean score of an answer of the new version. */
  readonly lossOf: (answer: NewVersionAnswer) => number;
  readonly policy: RolloutPolicy;
}

/** What came of a simulated roll-out. */
export interface SimulationOutcome {
  readonly isStopped: boolean;
  readonly isCompleted: boolean;
  readonly completedAtAnswer: number;
  /** Answers that lost more than tolerated. */
  readonly badAnswerCount: number;
  /** Sessions that saw such an answer, among all. */
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

/** Runs one roll-out until it is stopped or the answers are used up. */
export function runRollout(options: SimulationOptions): SimulationOutcome {
  const world = new SimulatedRollout(options);
  for (let index = 0; index < options.answerCount; index += 1) {
    if (world.isStopped) break;
    world.answer(index);
  }
  return world.outcome();
}

class SimulatedRollout {
  readonly #options: SimulationOptions;
  readonly #sessions: (Session | undefined)[];
  readonly #pending: PendingRating[] = [];
  #control = ControlState.empty;
  #vms: VersionWatch[];
  #controller: VersionWatch;
  #recordCount = 0;
  #offset = 0;
  #sessionCount = 0;
  #badSessionCount = 0;
  #badAnswerCount = 0;
  #newAnswerCount = 0;
  #completedAt = Infinity;

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.#append([this.#treeRecord()]);
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

  answer(index: number): void {
    this.#takeRatings(index);
    if (index % this.#options.publishPeriodAnswers === 0) this.#publish(index);
    if (this.#verdict() === "complete") {
      this.#completedAt = Math.min(this.#completedAt, index);
    }
    const slot = Math.floor(this.#options.random() * ACTIVE_SESSIONS);
    const session = this.#sessions[slot] ?? this.#newSession();
    const after = this.#answerSession(session, index);
    const isOver = this.#options.random() < 1 / MEAN_SESSION_ANSWERS;
    this.#sessions[slot] = isOver ? undefined : after;
  }

  outcome(): SimulationOutcome {
    return {
      isStopped: this.isStopped,
      isCompleted: this.#completedAt !== Infinity,
      completedAtAnswer: this.#completedAt,
      badAnswerCount: this.#badAnswerCount,
      badSessionShare: this.#badSessionCount / Math.max(1, this.#sessionCount),
    };
  }

  #answerSession(session: Session, index: number): Session | undefined {
    const { plan, random } = this.#options;
    const classIndex = Math.floor(random() * REQUEST_CLASSES.length);
    const requestClass = REQUEST_CLASSES[classIndex] ?? "drafting";
    const chosen = candidateVersions(this.#selection(session, requestClass));
    if (chosen.isErr()) return undefined;
    const version = chosen.value.first;
    const loss = version === plan.version ? this.#lossOf(requestClass) : 0;
    const isBad = loss > plan.toleratedLossShare;
    if (isBad) this.#badAnswerCount += 1;
    if (isBad && !session.hasBadAnswer) this.#badSessionCount += 1;
    this.#rateLater({ session, version, requestClass, loss, index });
    const hasBadAnswer = session.hasBadAnswer || isBad;
    return { ...session, pinned: version, hasBadAnswer };
  }

  #lossOf(requestClass: RequestClass): number {
    const answerIndex = this.#newAnswerCount;
    this.#newAnswerCount += 1;
    const isComplete = this.#completedAt !== Infinity;
    return this.#options.lossOf({ answerIndex, requestClass, isComplete });
  }

  #rateLater(
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
    this.#pending.push({
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

  #takeRatings(index: number): void {
    while ((this.#pending[0]?.dueAt ?? Infinity) <= index) {
      const rating = this.#pending.shift();
      const watch = rating && this.#vms[rating.vmIndex];
      if (rating === undefined || watch === undefined) return;
      const after = watch.addRating(rating, this.#control);
      this.#vms[rating.vmIndex] = after;
      const record = this.#options.policy.onRating(after);
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
    return [...watch.own.sums()].map(({ version, requestClass, sum }) => {
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
    });
  }

  #selection(session: Session, requestClass: RequestClass): SelectionInput {
    const watch = this.#vms[session.vmIndex] ?? this.#controller;
    const localStops = this.#options.policy.usesLocalStops
      ? watch.stops
      : LocalStops.empty;
    const { settings } = this.#options;
    const facts = { settings, control: this.#control, localStops };
    const { pinned } = session;
    const isKept = pinned !== undefined && mayStart(pinned, facts);
    return {
      ...facts,
      quality: watch.quality,
      requestClass,
      key: session.key,
      isInSession: true,
      pinned: isKept || pinned === undefined ? pinned : undefined,
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

  #treeRecord(): LogRecord {
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
