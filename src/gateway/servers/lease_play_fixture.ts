/**
 * Plays VMs that share the divided limit of one server and lend each other their
 * shares, in virtual time. Messages are late or lost, VMs know different others
 * and start again.
 */
import {
  type DividedLimit,
  type LimitedVm,
  SETTLE_MS,
} from "../../decision/mod.ts";
import { limitedVmsOf } from "../../decision/divided_play_fixture.ts";
import { seededRandom } from "../../decision/membership_fixture.ts";
import { DividedUses, type LimitedUse } from "./divided_uses.ts";

const STEP_MS = 10;
const ASK_PERIOD_MS = 250;
const MAX_ASKED_VMS = 2;
/** One way between a VM and the server, and the most between two VMs. */
const [WAY_MS, MAX_MESSAGE_MS] = [12, 300];
const SECOND_MS = 1000;

/** What is played. */
export interface LeasePlay {
  readonly seed: number;
  readonly perSecond: number;
  readonly limitFor: (perSecond: number, memberCount: number) => DividedLimit;
  readonly vmCount: number;
  /** Requests a second at a VM, by its index. */
  readonly demandOf: (index: number) => number;
  /** Whether a VM prefers other servers, and uses this one for no request. */
  readonly prefersOthers?: (index: number) => boolean;
  /** Share of the messages that are lost. */
  readonly lossShare: number;
  /** How many of the others a VM does not know. */
  readonly missedCount: number;
  /** Times a minute that each VM starts again. */
  readonly restartsPerMinute: number;
  readonly durationMs: number;
}

interface Vm {
  readonly self: LimitedVm;
  readonly known: readonly LimitedVm[];
  uses: DividedUses;
  startedAtMs: number;
}

/** Returns the times at which requests arrive at the server. */
export function playLeases(play: LeasePlay): number[] {
  const random = seededRandom(play.seed);
  const tasks = new Map<number, (() => void)[]>();
  let nowMs = 0;
  const later = (delayMs: number, task: () => void): void => {
    const atMs = nowMs + Math.ceil(delayMs / STEP_MS) * STEP_MS;
    tasks.set(atMs, [...tasks.get(atMs) ?? [], task]);
  };
  const deliver = (task: () => void): void => {
    if (random() >= play.lossShare) later(random() * MAX_MESSAGE_MS, task);
  };
  const limited: LimitedUse = {
    server: { id: "server-1", place: "khomas-a" },
    perSecond: play.perSecond,
  };
  const selves = limitedVmsOf(play.vmCount);
  const usesOf = (vm: () => Vm): DividedUses => {
    const uses = new DividedUses({
      vms: () => {
        const { self, known, startedAtMs } = vm();
        const isNew = nowMs < startedAtMs + SETTLE_MS;
        return { self, others: isNew ? undefined : known };
      },
      limitFor: play.limitFor,
      clock: () => nowMs,
    });
    uses.begin(limited.server.id);
    return uses;
  };
  const vms = selves.map((self): Vm => {
    const missed = new Set(
      Array.from(
        { length: play.missedCount },
        () => selves[Math.floor(random() * selves.length)],
      ),
    );
    const vm: Vm = {
      self,
      known: selves.filter((other) => other !== self && !missed.has(other)),
      uses: usesOf(() => vm),
      startedAtMs: -SETTLE_MS,
    };
    return vm;
  });
  const ask = (borrower: Vm, lender: Vm): void => {
    const askedAtMs = nowMs;
    const { uses, self } = borrower;
    deliver(() => {
      const perSecond = lender.uses.lendShare(limited, self.vm);
      if (perSecond === undefined) return;
      deliver(() =>
        uses.borrowShare(limited, {
          lender: lender.self.vm,
          perSecond,
          askedAtMs,
        })
      );
    });
  };
  const askAll = (vm: Vm): void => {
    const [wanted] = vm.uses.wantedShares();
    for (const name of wanted?.lenders.slice(0, MAX_ASKED_VMS) ?? []) {
      const lender = vms.find(({ self }) => self.vm === name);
      if (lender !== undefined) ask(vm, lender);
    }
    later(ASK_PERIOD_MS, () => askAll(vm));
  };
  const arrivalsMs: number[] = [];
  for (const vm of vms) later(random() * ASK_PERIOD_MS, () => askAll(vm));
  const restartShare = play.restartsPerMinute / 60 * STEP_MS / SECOND_MS;
  for (; nowMs < play.durationMs; nowMs += STEP_MS) {
    for (const task of tasks.get(nowMs) ?? []) task();
    tasks.delete(nowMs);
    for (const [index, vm] of vms.entries()) {
      if (random() < restartShare) {
        vm.startedAtMs = nowMs;
        vm.uses = usesOf(() => vm);
      }
      const due = play.demandOf(index) * STEP_MS / SECOND_MS;
      let count = Math.floor(due + random());
      for (; count > 0; count -= 1) {
        if (vm.uses.waitMs(limited) > 0) break;
        if (play.prefersOthers?.(index) === true) break;
        vm.uses.take(limited);
        arrivalsMs.push(nowMs + WAY_MS);
      }
    }
  }
  return arrivalsMs;
}
