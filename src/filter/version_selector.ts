/**
 * The version selector of one entry: chooses versions by the quality known here,
 * has answers rated, and publishes its ratings to the other VMs. The rating
 * service may be slow or down: an answer then counts as not rated, and none
 * waits for it longer than the client's own timeout. A version that the ratings
 * show to be bad gets no new work here at once, before any record says so.
 */
import { type Result } from "neverthrow";
import {
  candidateVersions,
  mayStart,
  shouldEscalate,
  type VersionPlan,
  VersionWatch,
} from "../decision/mod.ts";
import {
  type ModelRequest,
  type Random,
  type Refusal,
  type Settings,
  type SettingsPath,
  type VersionName,
} from "../model/mod.ts";
import { type Journal, type RatingClient } from "../client/mod.ts";
import { type RecordOf } from "../state/mod.ts";
import { type RatingQuery } from "./cascade.ts";
import { type ModelAnswer, type RequestContext } from "./context.ts";
import { type VersionQuery } from "./pin.ts";

/** Expected time of a whole answer from the next version. */
const EXPECTED_ESCALATION_MS = 2000;

/** Answers that are rated one and all after one that fell short. */
const ALERT_ANSWERS = 20;

/** What a selector works with. */
export interface VersionSelectorOptions {
  /** Name of this VM. */
  readonly self: string;
  readonly journal: Journal;
  readonly rating: RatingClient;
  /** Spend over what the budget allows of a workspace, from 0 to 1. */
  readonly budgetPressureOf: (workspace: SettingsPath) => number;
  /** Share of answers that are rated in the background. */
  readonly sampleShare: number;
  readonly publishTimeoutMs: number;
  /** Makes an id that no VM makes twice. */
  readonly makeId: () => string;
  readonly random: Random;
}

/** Chooses versions and keeps their ratings. */
export class VersionSelector {
  readonly #options: VersionSelectorOptions;
  readonly #published = new Map<string, number>();
  readonly #rated = new WeakSet<ModelAnswer>();
  /** Answers still to be rated of versions that fell short lately. */
  readonly #alerts = new Map<VersionName, number>();
  #watch: VersionWatch;

  constructor(options: VersionSelectorOptions) {
    this.#options = options;
    this.#watch = VersionWatch.create(
      options.self,
      options.journal.control(),
    );
  }

  /** What this VM knows of versions now. */
  get watch(): VersionWatch {
    return this.#watch;
  }

  /** The versions that may answer a request. */
  choose(query: VersionQuery): Result<VersionPlan, Refusal> {
    const { request, path, settings } = query;
    return candidateVersions({
      settings,
      control: this.#options.journal.control(),
      quality: this.#watch.quality,
      localStops: this.#watch.stops,
      requestClass: request.requestClass,
      key: request.session === undefined ? request.requestId : path,
      isInSession: request.session !== undefined,
      pinned: undefined,
      isRatingAvailable: this.#options.rating.isAvailable(),
    });
  }

  /** Whether new work may run on a version now. */
  mayStart(version: VersionName, settings: Settings): boolean {
    return mayStart(version, {
      settings,
      control: this.#options.journal.control(),
      localStops: this.#watch.stops,
    });
  }

  /**
   * Whether an answer falls so short that a better version is worth its price;
   * `undefined` when it was not rated. Pressure on the budget gives up optional
   * escalations, the smallest shortfalls first.
   */
  async fallsShort(
    query: RatingQuery,
    targetShare: number,
  ): Promise<boolean | undefined> {
    const scoreShare = await this.#rate(query.request, query.answer);
    if (scoreShare === undefined) return undefined;
    return shouldEscalate({
      scoreShare,
      targetShare,
      escalation: query.isRequired ? "required" : "optional",
      deadlineLeftMs: Infinity,
      expectedMs: 0,
      budgetPressureShare: this.#options.budgetPressureOf(
        query.request.workspace,
      ),
    });
  }

  /** Whether the deadline leaves time for one more version. */
  mayEscalate(context: RequestContext): boolean {
    return context.lifetime.leftMs() >= EXPECTED_ESCALATION_MS;
  }

  /** Rates a sample of whole answers in the background. */
  observeAnswer(request: ModelRequest, answer: ModelAnswer): void {
    if (this.#rated.has(answer)) return;
    if (!this.#isSampled(answer.version)) return;
    void this.#rate(request, answer);
  }

  /** Reads the control state again. */
  observe(): void {
    this.#watch = this.#watch.observe(this.#options.journal.control());
  }

  /** Appends the ratings that have grown since they were last published. */
  async publish(): Promise<void> {
    for (const own of this.#watch.own.sums()) {
      const key = `${own.version} ${own.requestClass}`;
      const { sum } = own;
      if ((this.#published.get(key) ?? 0) >= sum.count) continue;
      const record: RecordOf<"quality"> = {
        id: this.#options.makeId(),
        kind: "quality",
        vm: this.#options.self,
        version: own.version,
        requestClass: own.requestClass,
        ...sum,
      };
      const appended = await this.#options.journal.append(record, "", {
        timeoutMs: this.#options.publishTimeoutMs,
      });
      if (appended.isErr()) return;
      this.#published.set(key, sum.count);
    }
  }

  /**
   * Versions of a running roll-out are always rated, others by sample. After an
   * answer that fell short the next ones are rated too, so that a version that
   * turns bad outside any roll-out is found out by few answers.
   */
  #isSampled(version: VersionName): boolean {
    const alertCount = this.#alerts.get(version) ?? 0;
    if (alertCount > 0) {
      this.#alerts.set(version, alertCount - 1);
      return true;
    }
    for (const { input } of this.#watch.decisions) {
      if (input.plan.version === version) return true;
    }
    return this.#options.random() < this.#options.sampleShare;
  }

  async #rate(
    request: ModelRequest,
    answer: ModelAnswer,
  ): Promise<number | undefined> {
    this.#rated.add(answer);
    const rated = await this.#options.rating.rate({
      requestId: request.requestId,
      version: answer.version,
      requestClass: request.requestClass,
      prompt: request.messages.map((message) => message.content).join("\n"),
      answer: answer.text,
    });
    if (rated.isErr()) return undefined;
    const rating = {
      version: answer.version,
      requestClass: request.requestClass,
      scoreShare: rated.value,
    };
    const control = this.#options.journal.control();
    this.#watch = this.#watch.addRating(rating, control);
    const { qualityTargetShare } = control.tree.resolve(request.workspace)
      .values;
    if (rated.value < qualityTargetShare) {
      this.#alerts.set(answer.version, ALERT_ANSWERS);
    }
    return rated.value;
  }
}
