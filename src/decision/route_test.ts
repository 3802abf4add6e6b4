/** Tests of route choice, load estimates and subsets. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Vm } from "../model/mod.ts";
import { CLOSED_BREAKER } from "./breaker.ts";
import { DEFAULT_LOAD_PRIOR, estimateLoad } from "./load.ts";
import {
  chooseServer,
  DEFAULT_ROUTE_WEIGHTS,
  type RouteContext,
  type RouteRequest,
  type ServerView,
} from "./route.ts";
import { twoChoices } from "./route_policy.ts";
import { chooseSubset } from "./subset.ts";

function viewOf(server: string, changes: Partial<ServerView> = {}): ServerView {
  return {
    server,
    place: "khomas-a",
    versions: new Set(["drafter@1" as const]),
    isTakingWork: true,
    breaker: CLOSED_BREAKER,
    firstTokenMs: 100,
    serviceMs: 1000,
    firstUsedAtMs: undefined,
    report: reportOf(0),
    ownInFlightCount: 0,
    ...changes,
  };
}

function reportOf(runningCount: number): NonNullable<ServerView["report"]> {
  return {
    runningCount,
    queuedCount: 0,
    slotCount: 4,
    ownInFlightCount: 0,
    readAtMs: 0,
  };
}

function requestOf(changes: Partial<RouteRequest> = {}): RouteRequest {
  return {
    version: "drafter@1",
    requestClass: "drafting",
    leftMs: 10_000,
    excluded: new Set(),
    prefixShareOf: () => 0,
    transferBytes: 10_000,
    ...changes,
  };
}

function contextOf(changes: Partial<RouteContext> = {}): RouteContext {
  return {
    nowMs: 0,
    random: () => 0.5,
    prior: DEFAULT_LOAD_PRIOR,
    delayMsTo: () => 0.5,
    egressMicroEurPerMbTo: () => 0,
    weights: DEFAULT_ROUTE_WEIGHTS,
    ...changes,
  };
}

function chosenOf(
  views: readonly ServerView[],
  request: RouteRequest,
  context: RouteContext = contextOf(),
): string {
  const options = { context, policy: twoChoices };
  const choice = chooseServer(views, request, options);
  if (choice.kind === "none") return choice.reason;
  return choice.chosen.view.server;
}

test("candidates have the version, pass the breaker and take work", () => {
  const open = { ...CLOSED_BREAKER, phase: "open", openUntilMs: 9 } as const;
  const views = [
    viewOf("a", { versions: new Set(["drafter@2" as const]) }),
    viewOf("b", { isTakingWork: false }),
    viewOf("c", { versions: undefined }),
  ];
  assert.equal(chosenOf(views, requestOf()), "none_loaded");
  const broken = [...views, viewOf("d", { breaker: open })];
  assert.equal(chosenOf(broken, requestOf()), "none_passing");
  assert.equal(chosenOf([...broken, viewOf("e")], requestOf()), "e");
});

test("a server already attempted is excluded", () => {
  const excluded = new Set(["a"]);
  const views = [viewOf("a"), viewOf("b")];
  assert.equal(chosenOf(views, requestOf({ excluded })), "b");
});

test("the less loaded of two servers is chosen", () => {
  const views = [viewOf("a", { report: reportOf(8) }), viewOf("b")];
  assert.equal(chosenOf(views, requestOf()), "b");
});

test("a cached prefix outweighs a little load", () => {
  const views = [viewOf("a", { report: reportOf(1) }), viewOf("b")];
  const prefixShareOf = (server: string): number => server === "a" ? 0.9 : 0;
  assert.equal(chosenOf(views, requestOf({ prefixShareOf })), "a");
});

test("a review goes to the near server to save traffic, a lookup to the idle one", () => {
  const views = [
    viewOf("near", { report: reportOf(3) }),
    viewOf("far", { place: "erongo-a" }),
  ];
  const context = contextOf({
    delayMsTo: (place) => place === "erongo-a" ? 12 : 0.5,
    egressMicroEurPerMbTo: (place) => place === "erongo-a" ? 1000 : 0,
  });
  const review = requestOf({ requestClass: "review" });
  const lookup = requestOf({ requestClass: "lookup" });
  assert.equal(chosenOf(views, review, context), "near");
  assert.equal(chosenOf(views, lookup, context), "far");
});

test("a request whose deadline no server can meet has no route", () => {
  const views = [viewOf("a", { report: reportOf(40) })];
  assert.equal(chosenOf(views, requestOf({ leftMs: 500 })), "too_late");
});

test("an old report decays to the prior, not to zero", () => {
  const view = viewOf("a", { report: reportOf(0) });
  const options = { nowMs: 1_000_000, prior: DEFAULT_LOAD_PRIOR };
  assert.equal(estimateLoad(view, options).workCount, 2);
});

function serversOf(count: number, place: string): Vm[] {
  return Array.from({ length: count }, (_, index) => ({
    vm: `${place}-${index}`,
    kind: "engine",
    service: "models",
    place,
    address: "127.0.0.1:1",
    peerAddress: "",
    status: "live",
  }));
}

test("at 410 VMs and 4,800 servers subsets stay small and cover nearly all", () => {
  const places = ["p0", "p1", "p2", "p3", "p4"];
  const servers = places.flatMap((place) => serversOf(960, place));
  const counts = new Map<string, number>();
  for (let vm = 0; vm < 82; vm += 1) {
    const subset = chooseSubset({
      self: `vm-${vm}`,
      servers,
      vmCountOf: () => 82,
      places,
      limits: { floorCount: 16, coverageCount: 8 },
    });
    assert.equal(subset.length, 94);
    for (const one of subset) counts.set(one.vm, (counts.get(one.vm) ?? 0) + 1);
  }
  assert.ok(
    counts.size >= 955,
    `${counts.size} of 960 servers covered`,
  );
});

test("a place with too few servers is supplemented from the next one", () => {
  const subset = chooseSubset({
    self: "vm-1",
    servers: [...serversOf(3, "near"), ...serversOf(30, "far")],
    vmCountOf: () => 3,
    places: ["near", "far", "farther"],
    limits: { floorCount: 8, coverageCount: 1 },
  });
  const near = subset.filter((server) => server.place === "near").length;
  assert.equal(near, 3);
  assert.ok(subset.length >= 8);
});
