/** Creates an entry's peer node; holds bills at peers and lists entry VMs. */
import { chooseEntries, presentMembers } from "../decision/mod.ts";
import { type EntryList, type RequestHandler } from "../filter/mod.ts";
import { ROOT_PATH } from "../model/mod.ts";
import { type LogJournal, recordSourceOf } from "../client/mod.ts";
import { processEffects } from "../client/effects.ts";
import { type RecordOf } from "../state/mod.ts";
import { createPeerNode, type PeerNode } from "../wire/mod.ts";
import { type ProgramContext } from "./program.ts";

const HOLD_TIMEOUT_MS = 1500;
const MAX_HOLD_ATTEMPTS = 3;
const MAX_ADVERTISED_VMS = 3;
const LOAD_MAX_AGE_MS = 10_000;

export interface PeerNodeSetup {
  readonly context: ProgramContext;
  readonly journal: LogJournal;
  readonly handler: RequestHandler;
  /** Host and port at which callers reach this VM. */
  readonly httpAddress: string;
}

/** Creates the peer node; it is inactive before `start`. */
export function openPeerNode(setup: PeerNodeSetup): PeerNode {
  const { settings, logger, metrics } = setup.context;
  return createPeerNode({
    ...processEffects,
    vm: settings.vm,
    place: settings.place,
    address: setup.httpAddress,
    listenHost: settings.listen.host,
    listenPort: settings.listen.peerPort,
    deployment: settings.deployment,
    sharedKey: settings.access.peerKey,
    seeds: [],
    membership: { periodMs: settings.timing.probePeriodMs },
    records: recordSourceOf(setup.journal),
    bills: {
      hold: (_vm, bill) => setup.handler.holdForPeer(bill),
      drop: () => {},
    },
    logger,
    metrics,
  });
}

/**
 * Asks up to {@link MAX_HOLD_ATTEMPTS} peers to hold a bill, those in other
 * places first, and returns whether one of them does.
 */
export async function holdBillAtPeer(
  node: PeerNode,
  bill: RecordOf<"bill">,
): Promise<boolean> {
  for (const vm of holderCandidatesOf(node).slice(0, MAX_HOLD_ATTEMPTS)) {
    const answer = await node.query(vm, { kind: "hold_bill", bill }, {
      timeoutMs: HOLD_TIMEOUT_MS,
    });
    if (answer.isErr() || answer.value.kind !== "held") continue;
    if (answer.value.isHeld) return true;
  }
  return false;
}

function holderCandidatesOf(node: PeerNode): string[] {
  const { self } = node.membership();
  const alive = presentMembers(node.membership())
    .map((member) => member.update)
    .filter((update) => update.status === "alive");
  const inSamePlace = alive.filter((update) => update.place === self.place);
  const inOtherPlaces = alive.filter((update) => update.place !== self.place);
  return [...inOtherPlaces, ...inSamePlace].map((update) => update.vm);
}

/** Chooses the entry VMs that are advertised to a caller. */
export function listEntries(
  node: PeerNode,
  options: {
    readonly context: ProgramContext;
    readonly journal: LogJournal;
    readonly place: string | undefined;
  },
): EntryList {
  const { settings } = options.context;
  const root = options.journal.control().tree.resolve(ROOT_PATH).values;
  return chooseEntries(node.membership(), {
    place: options.place ?? settings.place,
    places: settings.places,
    drainedPlaces: root.drainedPlaces,
    maxCount: MAX_ADVERTISED_VMS,
    maxAgeMs: settings.timing.entriesMaxAgeMs,
    loadMaxAgeMs: LOAD_MAX_AGE_MS,
    nowMs: processEffects.clock(),
    random: processEffects.random,
  });
}
