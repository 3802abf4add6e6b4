/** What a VM tells another of the roll-outs that it knows. */
import { isEnded } from "../../decision/mod.ts";
import { MAX_ROLLOUTS, type RolloutReport } from "../peers/peer_update.ts";
import { type RolloutRecord } from "./rollout_record.ts";
import { type RolloutRegistry } from "./rollout_registry.ts";

const MAX_AGE_MS = 2 ** 31;

/**
 * Returns the reports of as many roll-outs as a message may have, those that are
 * open first, then the newest. Tallies are sent only to store readers
 * and only until the roll-out ends. Readers also forward the tallies that VMs
 * sent them directly.
 */
export function createRolloutReports(
  registry: RolloutRegistry,
  { instance, nowMs, isSenderReader, isReceiverReader }: {
    /** The process instance of the sender. */
    readonly instance: string;
    readonly nowMs: number;
    readonly isSenderReader: boolean;
    readonly isReceiverReader: boolean;
  },
): RolloutReport[] {
  return mostRelevant([...registry.rollouts.values()]).map((rollout) => {
    const ownTally = rollout.createTallyReport(
      instance,
      registry.otherInFlightCount(rollout),
    );
    const all = isSenderReader
      ? [ownTally, ...rollout.directTallies()]
      : [ownTally];
    return {
      service: rollout.order.service,
      orderOffset: rollout.position,
      ageMs: Math.min(MAX_AGE_MS, nowMs - rollout.startedAtMs),
      fault: rollout.fault ?? null,
      stage: rollout.stage ?? null,
      isStageKnown: rollout.isStageKnown,
      tallies: isReceiverReader && !isEnded(rollout.stage) ? all : [],
    };
  });
}

function mostRelevant(rollouts: readonly RolloutRecord[]): RolloutRecord[] {
  if (rollouts.length <= MAX_ROLLOUTS) return [...rollouts];
  const rankOf = ({ stage }: RolloutRecord): number => isEnded(stage) ? 1 : 0;
  return rollouts.toSorted((a, b) =>
    rankOf(a) - rankOf(b) || b.position - a.position
  ).slice(0, MAX_ROLLOUTS);
}
