/**
 * Keeps requests from the servers whose prompts have a part under which servers
 * end. Holds the reports of crashes that this VM and others made, and when
 * answers to the parts in question last got far. Reports are only added, and
 * withdrawn once the server turns out to be alive, so that they may arrive in
 * any order and twice. Every VM judges by what it holds.
 */
import {
  type AnswerTimes,
  type CrashReport,
  type FatalParts,
  findFatalParts,
  isSuspectRequest,
  trialTimeMs,
} from "../../decision/mod.ts";
import {
  type BackendServer,
  type Clock,
  type Logger,
} from "../../model/mod.ts";
import {
  ageOf,
  crashesToShare,
  type CrashNews,
  type HeldReport,
  isNews,
  MAX_NAME_LENGTH,
  MAX_SHARED_SURVIVED,
  mostReported,
  reportedParts,
  reportKeyOf,
  serverKeyOf,
} from "./crash_news.ts";
import { SurvivedParts } from "./survived_parts.ts";

/** A request at a server, for reports. */
export interface PromptAttempt {
  readonly requestId: string;
  readonly server: BackendServer;
  readonly partIds: readonly string[];
}

export interface PromptQuarantineOptions {
  /** Whether this VM is the one that tries a part in quarantine again. */
  readonly isTrialVm: (key: string) => boolean;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Reports of parts that nobody asks for any more expire. */
const RETENTION_MS = 5 * 60_000;
const MAX_REPORTS = 256;
/** A part with an answer within this time counts as sound. */
const SOUND_MS = 60_000;
/** A server that answers a request sent this soon after has not ended. */
const ALIVE_WITHIN_MS = 2000;
/** An answer that was dropped counts if its server ends this soon after. */
const DROPPED_MS = 1000;
/** Time in which a trial shows its outcome. */
const TRIAL_MS = 5000;
const REVIEW_MS = 1000;
const REVIEW_SOON_MS = 150;
const MIN_NEWS_MS = 250;

/** The quarantine of prompt parts on one VM. */
export class PromptQuarantine {
  readonly #options: PromptQuarantineOptions;
  readonly #reports = new Map<string, HeldReport>();
  readonly #survived = new SurvivedParts();
  #dropped: CrashReport[] = [];
  #fatal: readonly FatalParts[] = [];
  #reviewAtMs = Infinity;
  readonly #trialsAtMs = new Map<string, number>();

  constructor(options: PromptQuarantineOptions) {
    this.#options = options;
  }

  /** Records an answer that broke off before it had got anywhere. */
  recordBreak(attempt: PromptAttempt): void {
    const report = this.#reportOf(attempt);
    if (report.partIds.length > 0) this.#add(report);
    this.recordUnreachable(attempt.server);
  }

  /** Records an answer that this VM dropped as it began. */
  recordDrop(attempt: PromptAttempt): void {
    const report = this.#reportOf(attempt);
    if (report.partIds.length === 0) return;
    this.#dropped = this.#recentlyDropped(report.atMs);
    this.#dropped.push(report);
  }

  /** Records that a server cannot be reached; it may have ended. */
  recordUnreachable(server: BackendServer): void {
    const key = serverKeyOf(server);
    for (const report of this.#recentlyDropped(this.#options.clock())) {
      if (report.serverKey === key) this.#add(report);
    }
  }

  /** Records a server's answer, which shows that it had not ended before. */
  recordServerAnswer(server: BackendServer, sentAtMs: number): void {
    if (this.#reports.size === 0) return;
    const serverKey = serverKeyOf(server);
    for (const [key, report] of this.#reports) {
      const sinceMs = sentAtMs - report.atMs;
      const isProof = report.serverKey === serverKey && sinceMs > 0 &&
        sinceMs < ALIVE_WITHIN_MS;
      if (!isProof || report.isWithdrawn) continue;
      this.#withdraw(key, report);
    }
  }

  /** Records that an answer to a prompt with these parts got far. */
  recordSurvival(partIds: readonly string[]): void {
    const nowMs = this.#options.clock();
    for (const partId of partIds) this.#survived.record(partId, nowMs);
    this.#reviewSoon(nowMs);
  }

  /**
   * Returns the time until a request may be tried; `undefined` if none of its
   * parts is in quarantine, or if it may be the trial.
   */
  waitMs(partIds: readonly string[]): number | undefined {
    const nowMs = this.#options.clock();
    const fatal = this.#fatalIn(partIds, nowMs);
    if (fatal === undefined) return undefined;
    const trialAtMs = trialTimeMs(fatal);
    const lastTrialMs = this.#trialsAtMs.get(nameOf(fatal)) ?? -Infinity;
    const isDue = nowMs >= trialAtMs && nowMs >= lastTrialMs + TRIAL_MS;
    if (isDue && this.#options.isTrialVm(nameOf(fatal))) return undefined;
    return Math.max(TRIAL_MS, trialAtMs - nowMs);
  }

  /** Whether a request under which servers ended is not to be repeated. */
  isSuspect(partIds: readonly string[]): boolean {
    if (this.#reports.size === 0) return false;
    const nowMs = this.#options.clock();
    const answers = this.#answerTimes(nowMs);
    return isSuspectRequest(this.#standingReports, { partIds, answers });
  }

  /** Counts a request that is now sent; it may be the trial of its parts. */
  countAttempt(partIds: readonly string[]): void {
    const nowMs = this.#options.clock();
    const fatal = this.#fatalIn(partIds, nowMs);
    if (fatal === undefined) return;
    this.#trialsAtMs.set(nameOf(fatal), nowMs);
    this.#options.logger.info("quarantined prompt tried", {
      promptParts: nameOf(fatal),
    });
  }

  /** Whether there are reports that other VMs may not have yet. */
  get hasNews(): boolean {
    const nowMs = this.#options.clock();
    return [...this.#reports.values()].some((report) => isNews(report, nowMs));
  }

  /** Returns what another VM needs to come to the same judgement. */
  toShare(): CrashNews {
    const nowMs = this.#options.clock();
    this.#review(nowMs);
    const reports = [...this.#reports.values()];
    const ages: [string, number][] = [];
    for (const partId of mostReported(reports)) {
      const atMs = this.#survivedAtMs(partId, nowMs);
      if (atMs !== undefined) ages.push([partId, ageOf(atMs, nowMs)]);
    }
    return {
      crashes: crashesToShare(reports, { fatal: this.#fatal, nowMs }),
      survived: ages.slice(0, MAX_SHARED_SURVIVED),
    };
  }

  /** Applies what another VM knows. */
  merge({ crashes, survived }: CrashNews): void {
    const nowMs = this.#options.clock();
    for (const { ageMs, isWithdrawn, ...report } of crashes) {
      const key = reportKeyOf(report);
      const known = this.#reports.get(key);
      if (known === undefined) {
        this.#add({ ...report, atMs: nowMs - ageMs }, isWithdrawn);
      } else if (isWithdrawn && !known.isWithdrawn) {
        this.#withdraw(key, known);
      }
    }
    for (const [partId, ageMs] of survived) {
      const atMs = nowMs - ageMs;
      const knownMs = this.#survived.lastAtMs(partId) ?? -Infinity;
      // VMs send each other the same news, later by the time on the way.
      if (atMs - knownMs < MIN_NEWS_MS) continue;
      this.#survived.record(partId, atMs);
      this.#reviewSoon(nowMs);
    }
  }

  #reportOf({ requestId, server, partIds }: PromptAttempt): CrashReport {
    return {
      requestId: requestId.slice(0, MAX_NAME_LENGTH),
      serverKey: serverKeyOf(server),
      partIds: reportedParts(partIds),
      atMs: this.#options.clock(),
    };
  }

  #recentlyDropped(nowMs: number): CrashReport[] {
    return this.#dropped.filter(({ atMs }) => nowMs - atMs < DROPPED_MS);
  }

  #add(report: CrashReport, isWithdrawn = false): void {
    const key = reportKeyOf(report);
    if (this.#reports.has(key)) return;
    const learnedAtMs = this.#options.clock();
    this.#reports.set(key, { ...report, isWithdrawn, learnedAtMs });
    if (this.#reports.size > MAX_REPORTS) this.#evict();
    this.#reviewAtMs = -Infinity;
  }

  /** Discards the oldest report that holds no quarantine. */
  #evict(): void {
    const held = new Set(
      this.#fatal.flatMap(({ reports }) => reports.map(reportKeyOf)),
    );
    for (const key of this.#reports.keys()) {
      if (!held.has(key)) return void this.#reports.delete(key);
    }
    const [oldest] = this.#reports.keys();
    if (oldest !== undefined) this.#reports.delete(oldest);
  }

  #withdraw(key: string, report: HeldReport): void {
    const learnedAtMs = this.#options.clock();
    this.#reports.set(key, { ...report, isWithdrawn: true, learnedAtMs });
    this.#reviewAtMs = -Infinity;
  }

  #fatalIn(
    partIds: readonly string[],
    nowMs: number,
  ): FatalParts | undefined {
    if (this.#reports.size === 0) return undefined;
    this.#review(nowMs);
    return this.#fatal.find((fatal) =>
      fatal.partIds.every((partId) => partIds.includes(partId))
    );
  }

  /** Answers are frequent and only ever speak for a part. */
  #reviewSoon(nowMs: number): void {
    if (this.#reports.size === 0) return;
    this.#reviewAtMs = Math.min(this.#reviewAtMs, nowMs + REVIEW_SOON_MS);
  }

  /** Judges anew if there is something new, or a report may have expired. */
  #review(nowMs: number): void {
    if (nowMs < this.#reviewAtMs) return;
    for (const [key, { atMs }] of this.#reports) {
      if (nowMs - atMs > RETENTION_MS) this.#reports.delete(key);
    }
    const before = this.#fatal;
    const answers = this.#answerTimes(nowMs);
    this.#fatal = findFatalParts(this.#standingReports, answers);
    this.#reviewAtMs = this.#reports.size > 0 ? nowMs + REVIEW_MS : Infinity;
    this.#logChanges(before);
  }

  #logChanges(before: readonly FatalParts[]): void {
    const { logger } = this.#options;
    const names = new Set(this.#fatal.map(nameOf));
    const namesBefore = new Set(before.map(nameOf));
    for (const fatal of this.#fatal) {
      if (namesBefore.has(nameOf(fatal))) continue;
      const { reports } = fatal;
      logger.warn("prompt quarantined", {
        promptParts: nameOf(fatal),
        crashCount: new Set(reports.map(({ serverKey }) => serverKey)).size,
        requestCount: new Set(reports.map(({ requestId }) => requestId)).size,
      });
    }
    for (const name of namesBefore) {
      if (names.has(name)) continue;
      this.#trialsAtMs.delete(name);
      logger.info("prompt released", { promptParts: name });
    }
  }

  get #standingReports(): HeldReport[] {
    return [...this.#reports.values()].filter(({ isWithdrawn }) =>
      !isWithdrawn
    );
  }

  #answerTimes(nowMs: number): AnswerTimes {
    return {
      answeredAtMs: (partId) => this.#survivedAtMs(partId, nowMs),
      newestAtMs: this.#survived.newestAtMs,
    };
  }

  #survivedAtMs(partId: string, nowMs: number): number | undefined {
    const atMs = this.#survived.lastAtMs(partId);
    return atMs !== undefined && nowMs - atMs < SOUND_MS ? atMs : undefined;
  }
}

function nameOf({ partIds }: FatalParts): string {
  return partIds.join(" ");
}
