/**
 * VMs and servers in virtual time, of which one prompt part, or one request that
 * is repeated, crashes each server that begins to answer it. The VMs' quarantines are the product's own; requests
 * wait for a place, run for a while, and are victims of others' crashes.
 */
import { digestPartId } from "../../decision/mod.ts";
import { seededRandom } from "../../decision/membership_fixture.ts";
import { serverOf } from "../../decision/manifest_fixture.ts";
import {
  type BackendServer,
  type Random,
  silentLogger,
} from "../../model/mod.ts";
import { PromptQuarantine } from "./prompt_quarantine.ts";

/** What crashes servers: a part of the prompt, or the request itself. */
const FATAL_PART = { part: "fatal", request: digestPartId("fatal") } as const;

/** What is played. */
export interface CrashPlay {
  readonly seed: number;
  readonly vmCount: number;
  readonly serverCount: number;
  readonly soundPerSecond: number;
  readonly fatalPerSecond: number;
  readonly fatal: keyof typeof FATAL_PART;
  /** Sound parts beside the common first one; few requests share one each. */
  readonly subjectCount: number;
  readonly fatalFromMs: number;
  /** Servers that end for another reason, whatever they do. */
  readonly otherCrashesPerSecond: number;
  readonly durationMs: number;
  /** The first VM of each place is its store reader. */
  readonly placeCount: number;
  /** A VM queries the reader of its place this often. */
  readonly exchangeMs: number;
  /** A reader queries another one this often. */
  readonly readerExchangeMs: number;
}

/** What was seen. */
export interface CrashRecord {
  readonly crashesMs: readonly number[];
  readonly fatalArrivalsMs: readonly number[];
  /** Sound requests: when they came, and whether a VM refused them. */
  readonly sound: readonly {
    readonly atMs: number;
    readonly isRefused: boolean;
    readonly isServed: boolean;
  }[];
}

interface Running {
  readonly requestId: string;
  readonly vm: PromptQuarantine;
  readonly partIds: readonly string[];
  readonly sentAtMs: number;
  readonly beginsAtMs: number;
  readonly endsAtMs: number;
  readonly triedCount: number;
  hasBegun: boolean;
  hasSurvived: boolean;
}

interface Server {
  readonly server: BackendServer;
  readonly running: Set<Running>;
  crashesAtMs: number | undefined;
}

const STEP_MS = 10;
const CRASH_AFTER_MS = 60;
const RESTART_MS = 3000;
const MAX_ATTEMPTS = 3;
const SURVIVED_MS = 500;
/** Prompts are read in this time, and answers last that long. */
const PREFILL_MS = { min: 80, max: 400 } as const;
const ANSWER_MS = { min: 100, max: 2500 } as const;

/** Plays requests before servers that one part crashes. */
export function playCrashes(play: CrashPlay): CrashRecord {
  return new Simulation(play).run();
}

class Simulation {
  readonly #play: CrashPlay;
  readonly #random: Random;
  readonly #vms: readonly PromptQuarantine[];
  readonly #servers = new Set<Server>();
  readonly #restartsMs: number[] = [];
  readonly #crashesMs: number[] = [];
  readonly #fatalArrivalsMs: number[] = [];
  readonly #sound: { atMs: number; isRefused: boolean; isServed: boolean }[] =
    [];
  readonly #soundIndex = new Map<string, number>();
  #nowMs = 0;
  #serverCount = 0;

  constructor(play: CrashPlay) {
    this.#play = play;
    this.#random = seededRandom(play.seed);
    this.#vms = Array.from(
      { length: play.vmCount },
      (_, index) =>
        new PromptQuarantine({
          isTrialVm: () => index === 0,
          clock: () => this.#nowMs,
          logger: silentLogger,
        }),
    );
    for (let index = 0; index < play.serverCount; index++) this.#addServer();
  }

  run(): CrashRecord {
    const { durationMs, soundPerSecond, fatalPerSecond } = this.#play;
    const rates = [soundPerSecond, fatalPerSecond];
    let count = 0;
    for (; this.#nowMs < durationMs; this.#nowMs += STEP_MS) {
      this.#restartServers();
      this.#crashAny();
      for (const server of [...this.#servers]) this.#advance(server);
      for (const [kind, perSecond] of rates.entries()) {
        if (kind === 1 && this.#nowMs < this.#play.fatalFromMs) continue;
        if (this.#random() >= perSecond * STEP_MS / 1000) continue;
        this.#arrive(`r-${count++}`, kind === 1);
      }
      this.#exchange();
    }
    return {
      crashesMs: this.#crashesMs,
      fatalArrivalsMs: this.#fatalArrivalsMs,
      sound: this.#sound,
    };
  }

  get #fatalPart(): string {
    return FATAL_PART[this.#play.fatal];
  }

  #arrive(requestId: string, isFatal: boolean): void {
    const { subjectCount } = this.#play;
    const subject = `subject-${Math.floor(this.#random() * subjectCount)}`;
    const ownPart = digestPartId(requestId);
    const partIds = isFatal
      ? ["system", subject, this.#fatalPart, ownPart]
      : ["system", subject, ownPart];
    // The same request has the same parts.
    if (isFatal && this.#play.fatal === "request") {
      partIds.splice(1, 3, "subject", this.#fatalPart);
    }
    const vm = this.#pick(this.#vms);
    if (!isFatal) {
      this.#soundIndex.set(requestId, this.#sound.length);
      this.#sound.push({
        atMs: this.#nowMs,
        isRefused: vm.waitMs(partIds) !== undefined,
        isServed: false,
      });
    }
    this.#send({ requestId, vm, partIds, triedCount: 0 });
  }

  #send(
    request: Pick<Running, "requestId" | "vm" | "partIds" | "triedCount">,
  ): void {
    const { vm, partIds } = request;
    if (vm.waitMs(partIds) !== undefined || this.#servers.size === 0) return;
    if (request.triedCount === MAX_ATTEMPTS) return;
    vm.countAttempt(partIds);
    if (partIds.includes(this.#fatalPart)) {
      this.#fatalArrivalsMs.push(this.#nowMs);
    }
    const beginsAtMs = this.#nowMs + this.#between(PREFILL_MS);
    this.#pick([...this.#servers]).running.add({
      ...request,
      sentAtMs: this.#nowMs,
      beginsAtMs,
      endsAtMs: beginsAtMs + this.#between(ANSWER_MS),
      triedCount: request.triedCount + 1,
      hasBegun: false,
      hasSurvived: false,
    });
  }

  #advance(server: Server): void {
    for (const running of server.running) {
      const { vm, partIds, beginsAtMs } = running;
      if (this.#nowMs < beginsAtMs) continue;
      if (partIds.includes(this.#fatalPart)) {
        server.crashesAtMs ??= beginsAtMs + CRASH_AFTER_MS;
        continue;
      }
      if (!running.hasBegun) {
        running.hasBegun = true;
        vm.recordServerAnswer(server.server, running.sentAtMs);
      }
      if (!running.hasSurvived && this.#nowMs >= beginsAtMs + SURVIVED_MS) {
        running.hasSurvived = true;
        vm.recordSurvival(partIds);
      }
      if (this.#nowMs < running.endsAtMs) continue;
      vm.recordSurvival(partIds);
      server.running.delete(running);
      const entry = this.#sound[this.#soundIndex.get(running.requestId) ?? -1];
      if (entry !== undefined) entry.isServed = true;
    }
    if (this.#nowMs >= (server.crashesAtMs ?? Infinity)) this.#crash(server);
  }

  #crash(server: Server): void {
    this.#servers.delete(server);
    this.#crashesMs.push(this.#nowMs);
    this.#restartsMs.push(this.#nowMs + RESTART_MS);
    for (const running of server.running) {
      const { vm, requestId, partIds, beginsAtMs } = running;
      if (this.#nowMs - beginsAtMs < SURVIVED_MS) {
        vm.recordBreak({ requestId, server: server.server, partIds });
      }
      if (!vm.isSuspect(partIds)) this.#send(running);
    }
  }

  #crashAny(): void {
    const share = this.#play.otherCrashesPerSecond * STEP_MS / 1000;
    if (this.#servers.size === 0 || this.#random() >= share) return;
    this.#crash(this.#pick([...this.#servers]));
  }

  #restartServers(): void {
    while ((this.#restartsMs[0] ?? Infinity) <= this.#nowMs) {
      this.#restartsMs.shift();
      this.#addServer();
    }
  }

  #addServer(): void {
    const server = serverOf(`server-${this.#serverCount++}`);
    this.#servers.add({ server, running: new Set(), crashesAtMs: undefined });
  }

  #exchange(): void {
    const { placeCount, exchangeMs, readerExchangeMs } = this.#play;
    const readers = this.#vms.slice(0, placeCount);
    for (const [index, vm] of this.#vms.entries()) {
      const isReader = index < placeCount;
      const periodMs = isReader ? readerExchangeMs : exchangeMs;
      if (this.#random() >= STEP_MS / periodMs) continue;
      const reader = isReader
        ? this.#pick(readers.filter((other) => other !== vm))
        : readers[index % placeCount];
      reader?.merge(vm.toShare());
      if (reader !== undefined) vm.merge(reader.toShare());
    }
  }

  #pick<Item>(items: readonly Item[]): Item {
    const item = items[Math.floor(this.#random() * items.length)];
    if (item === undefined) throw new RangeError("nothing to pick from");
    return item;
  }

  #between(
    { min, max }: { readonly min: number; readonly max: number },
  ): number {
    return min + this.#random() * (max - min);
  }
}
