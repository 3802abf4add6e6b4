/**
 * Plays VMs that share brittle servers in virtual time. Each VM sends a request
 * to the server at which it has the fewest, of those that it may use, and
 * refuses it if there is none. It doesn't know what other VMs have there.
 */
import {
  backOff,
  type BrittleBackoff,
  type BrittlePart,
  brittlePartOf,
  type BrittleServer,
  type BrittleVm,
  NO_BACKOFF,
  restorePermit,
  timeToRestoreMs,
} from "./brittle_server.ts";
import { seededRandom } from "./membership_fixture.ts";

const STEP_MS = 5;
const WINDOW_MS = 1000;

/** What is played. */
export interface BrittlePlay {
  readonly seed: number;
  readonly vms: readonly BrittleVm[];
  /** The other VMs that a VM knows. */
  readonly othersOf: (self: BrittleVm) => readonly BrittleVm[];
  readonly servers: readonly BrittleServer[];
  /** Requests that may wait at a server. */
  readonly maxWaitingCount: number;
  readonly workMs: number;
  /** One way between a VM and a server. */
  readonly wayMs: number;
  readonly requestsPerSecond: number;
  readonly durationMs: number;
}

/** What came of it. */
export interface BrittleResult {
  /** The most requests that a server turned away in a second. */
  readonly mostRefusedCount: number;
  /** Requests answered, as a share of what the servers can answer. */
  readonly usedShare: number;
}

interface Link {
  readonly server: PlayedServer;
  readonly part: BrittlePart;
  backoff: BrittleBackoff;
  inFlightCount: number;
}

interface PlayedServer {
  readonly server: BrittleServer;
  readonly waiting: Link[];
  readonly refusedAtMs: number[];
  runningCount: number;
  answeredCount: number;
}

interface Event {
  readonly atMs: number;
  readonly run: (nowMs: number) => void;
}

/** Plays and returns what came of it. */
export function playBrittle(play: BrittlePlay): BrittleResult {
  const random = seededRandom(play.seed);
  const events: Event[] = [];
  const servers = play.servers.map((server): PlayedServer => ({
    server,
    waiting: [],
    refusedAtMs: [],
    runningCount: 0,
    answeredCount: 0,
  }));
  const links = play.vms.map((self) =>
    servers.map((server): Link => ({
      server,
      part: brittlePartOf(server.server, { self, others: play.othersOf(self) }),
      backoff: NO_BACKOFF,
      inFlightCount: 0,
    }))
  );

  const begin = (link: Link, nowMs: number): void => {
    const { server } = link;
    server.runningCount += 1;
    events.push({
      atMs: nowMs + play.workMs,
      run: (endMs) => {
        server.runningCount -= 1;
        server.answeredCount += 1;
        events.push({
          atMs: endMs + play.wayMs,
          run: () => link.inFlightCount -= 1,
        });
        const next = server.waiting.shift();
        if (next !== undefined) begin(next, endMs);
      },
    });
  };
  const arrive = (link: Link, nowMs: number): void => {
    const { server } = link;
    if (server.runningCount < server.server.slotCount) begin(link, nowMs);
    else if (server.waiting.length < play.maxWaitingCount) {
      server.waiting.push(link);
    } else {
      server.refusedAtMs.push(nowMs);
      events.push({
        atMs: nowMs + play.wayMs,
        run: (knownMs) => learnRefusal(link, knownMs),
      });
    }
  };

  let nextMs = 0;
  for (let nowMs = 0; nowMs < play.durationMs; nowMs += STEP_MS) {
    for (const event of takeDue(events, nowMs)) event.run(nowMs);
    while (nextMs <= nowMs) {
      nextMs -= Math.log(1 - random()) * 1000 / play.requestsPerSecond;
      const own = links[Math.floor(random() * links.length)] ?? [];
      const link = openLink(own, { random, nowMs });
      if (link === undefined) continue;
      link.inFlightCount += 1;
      events.push({
        atMs: nowMs + play.wayMs,
        run: (atMs) => arrive(link, atMs),
      });
    }
  }
  return resultOf(servers, play);
}

/** Removes the events that are due. */
function takeDue(events: Event[], nowMs: number): Event[] {
  const due = events.filter(({ atMs }) => atMs <= nowMs);
  const later = events.filter(({ atMs }) => atMs > nowMs);
  events.splice(0, events.length, ...later);
  return due;
}

function leftCountOf(link: Link, nowMs: number): number {
  const { part, server: { server }, backoff } = link;
  const isRestored = backoff.missingCount > 0 &&
    timeToRestoreMs(backoff, { server, part, nowMs }) === 0;
  if (isRestored) link.backoff = restorePermit(backoff, nowMs);
  return part.permitCount - link.backoff.missingCount;
}

function openLink(
  links: readonly Link[],
  { random, nowMs }: {
    readonly random: () => number;
    readonly nowMs: number;
  },
): Link | undefined {
  let best: Link | undefined;
  let bestCost = Infinity;
  for (const link of links) {
    if (link.inFlightCount >= leftCountOf(link, nowMs)) continue;
    const cost = link.inFlightCount + random();
    if (cost >= bestCost) continue;
    best = link;
    bestCost = cost;
  }
  return best;
}

function learnRefusal(link: Link, nowMs: number): void {
  link.inFlightCount -= 1;
  link.backoff = backOff(link.backoff, { part: link.part, nowMs });
}

function resultOf(
  servers: readonly PlayedServer[],
  { workMs, durationMs }: BrittlePlay,
): BrittleResult {
  let mostRefusedCount = 0;
  let answeredCount = 0;
  let slotCount = 0;
  for (const { server, refusedAtMs, answeredCount: count } of servers) {
    answeredCount += count;
    slotCount += server.slotCount;
    let first = 0;
    for (const [index, atMs] of refusedAtMs.entries()) {
      while (atMs - (refusedAtMs[first] ?? 0) >= WINDOW_MS) first += 1;
      mostRefusedCount = Math.max(mostRefusedCount, index - first + 1);
    }
  }
  const mostAnswered = slotCount * durationMs / workMs;
  return { mostRefusedCount, usedShare: answeredCount / mostAnswered };
}
