/**
 * The version selector of one entry: chooses versions by observed quality,
 * requests ratings of answers and publishes the ratings to the other VMs. If
 * the rating service is slow or down, an answer counts as not rated; the
 * timeout of the rating client bounds the wait. A version that the ratings of
 * this VM show to be bad receives no new requests here at once, before the
 * stop is recorded in the log.
 */
import { type Result } from "neverthrow";
import {
  mayStart,
  planVersions,
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

/** Expected time until the complete answer of the next version. */
const EXPECTED_ESCALATION_MS = 2000;

/** Number of answers that are all rated after one below the quality target. */
const ALERT_ANSWER_COUNT = 20;

export interface VersionSelectorOptions {
  /** Name of this VM. */
  readonly self: string;
  readonly journal: Journal;
  readonly rating: RatingClient;
  /** Budget pressure of a workspace, from 0 to 1. */
  readonly budgetPressureOf: (workspace: SettingsPath) => number;
  /** Share of answers that are sampled for rating in the background. */
  readonly sampleShare: number;
  readonly publishTimeoutMs: number;
  /** Returns an id that is unique over all VMs. */
  readonly makeId: () => string;
  readonly random: Random;
}

/** Chooses versions and collects their ratings. */
export class VersionSelector {
  readonly #options: VersionSelectorOptions;
  readonly #publishedCounts = new Map<string, number>();
  readonly #ratedAnswers = new WeakSet<ModelAnswer>();
  /** Answers left to rate of each version with a recent low rating. */
  readonly #alertCounts = new Map<VersionName, number>();
  #watch: VersionWatch;

  constructor(options: VersionSelectorOptions) {
    this.#options = options;
    this.#watch = VersionWatch.create(
      options.self,
      options.journal.control(),
    );
  }

  /** The current quality, stops and roll-outs of versions. */
  get watch(): VersionWatch {
    return this.#watch;
  }

  /** Chooses the versions that may answer a request. */
  choose(query: VersionQuery): Result<VersionPlan, Refusal> {
    const { request, path, settings } = query;
    return planVersions({
      settings,
      control: this.#options.journal.control(),
      quality: this.#watch.quality,
      localStops: this.#watch.localStops,
      requestClass: request.requestClass,
      key: request.session === undefined ? request.requestId : path,
      isInSession: request.session !== undefined,
      pinned: undefined,
      isRatingAvailable: this.#options.rating.isAvailable(),
    });
  }

  /** Whether new requests may run on a version. */
  mayStart(version: VersionName, settings: Settings): boolean {
    return mayStart(version, {
      settings,
      control: this.#options.journal.control(),
      localStops: this.#watch.localStops,
    });
  }

  /**
   * Whether an answer is so far below `targetShare` that it is worth escalating
   * to a better version; `undefined` if the answer could not be rated. Budget
   * pressure suppresses optional escalations, the smallest shortfalls first.
   */
  async shouldEscalate(
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

  /** Whether another version can answer before the deadline. */
  mayEscalate(context: RequestContext): boolean {
    return context.lifetime.leftMs() >= EXPECTED_ESCALATION_MS;
  }

  /** Rates a complete answer in the background if it is sampled. */
  observeAnswer(request: ModelRequest, answer: ModelAnswer): void {
    if (this.#ratedAnswers.has(answer)) return;
    if (!this.#isSampled(answer.version)) return;
    void this.#rate(request, answer);
  }

  /** Updates the selector from the control state. */
  observe(): void {
    this.#watch = this.#watch.observe(this.#options.journal.control());
  }

  /** Appends the rating sums that grew since they were last published. */
  async publish(): Promise<void> {
    for (const entry of this.#watch.ownRatings.sums()) {
      const key = `${entry.version} ${entry.requestClass}`;
      const { sum } = entry;
      if ((this.#publishedCounts.get(key) ?? 0) >= sum.count) continue;
      const record: RecordOf<"quality"> = {
        id: this.#options.makeId(),
        kind: "quality",
        vm: this.#options.self,
        version: entry.version,
        requestClass: entry.requestClass,
        ...sum,
      };
      const appended = await this.#options.journal.append(record, "", {
        timeoutMs: this.#options.publishTimeoutMs,
      });
      if (appended.isErr()) return;
      this.#publishedCounts.set(key, sum.count);
    }
  }

  /**
   * Versions in a running roll-out are always rated, others by random sample.
   * After an answer below the quality target, the next answers of its version
   * are all rated, so that a version that degrades outside a roll-out is
   * detected within few answers.
   */
  #isSampled(version: VersionName): boolean {
    const alertCount = this.#alertCounts.get(version) ?? 0;
    if (alertCount > 0) {
      this.#alertCounts.set(version, alertCount - 1);
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
    this.#ratedAnswers.add(answer);
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
      this.#alertCounts.set(answer.version, ALERT_ANSWER_COUNT);
    }
    return rated.value;
  }
}
