/** Tests of the directory: load reports, polls, drains and work in flight. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Vm } from "../model/mod.ts";
import { type ServerReport } from "./load_report.ts";
import { pollOnce } from "./load_poller.ts";
import { type Drains } from "./drains.ts";
import { ServerDirectory } from "./server_directory.ts";

const WORK = "tagger@1 lookup";

function vmOf(index: number, changes: Partial<Vm> = {}): Vm {
  return {
    vm: `e-${index}`,
    kind: "engine",
    service: "models",
    place: "khomas-a",
    address: `127.0.0.1:${1000 + index}`,
    peerAddress: "",
    status: "live",
    ...changes,
  };
}

function reportOf(changes: Partial<ServerReport> = {}): ServerReport {
  return {
    server: "e",
    sequence: 1,
    versions: [{ version: "tagger@1", state: "loaded", adapters: [] }],
    runningCount: 0,
    queuedCount: 0,
    slotCount: 8,
    memoryMb: 0,
    usedMemoryMb: 0,
    role: "both",
    isLeaving: false,
    ...changes,
  };
}

class Fixture {
  vms: readonly Vm[] = [vmOf(1), vmOf(2)];
  drains: Drains = { places: [], servers: [] };
  nowMs = 0;
  readonly directory = new ServerDirectory({
    self: "vm-1",
    source: { vms: () => this.vms, ageMs: () => 0 },
    places: ["khomas-a", "erongo-a"],
    clock: () => this.nowMs,
    drains: () => this.drains,
    priorFirstTokenMs: 100,
    priorServiceMs: 1000,
  });

  takingWork(): string[] {
    return this.directory.views("models", WORK)
      .filter((view) => view.isTakingWork)
      .map((view) => view.server).sort();
  }
}

test("a server that is drained or reported as leaving gets no work", () => {
  const fixture = new Fixture();
  const far = vmOf(4, { place: "erongo-a" });
  fixture.vms = [vmOf(1), vmOf(2), vmOf(3), far, vmOf(5), vmOf(6)];
  assert.equal(fixture.takingWork().length, 6);
  const leaving = vmOf(2, { status: "leaving" });
  fixture.vms = [vmOf(1), leaving, vmOf(3), far, vmOf(5), vmOf(6)];
  assert.deepEqual(fixture.takingWork(), ["e-1", "e-3", "e-4", "e-5", "e-6"]);
  fixture.drains = { places: ["erongo-a"], servers: ["e-3"] };
  assert.deepEqual(fixture.takingWork(), ["e-1", "e-5", "e-6"]);
  fixture.directory.recordReport("e-5", reportOf({ isLeaving: true }));
  assert.deepEqual(fixture.takingWork(), ["e-1", "e-6"]);
  fixture.directory.markLeaving("e-6");
  assert.deepEqual(fixture.takingWork(), ["e-1"]);
});

test("all servers of a service count as polled after a report or failed poll", () => {
  const fixture = new Fixture();
  assert.equal(fixture.directory.hasPolledAll("models"), false);
  fixture.directory.recordReport("e-1", reportOf());
  assert.equal(fixture.directory.hasPolledAll("models"), false);
  fixture.directory.recordFailedPoll("e-2");
  assert.equal(fixture.directory.hasPolledAll("models"), true);
});

test("a late report doesn't replace a newer one", () => {
  const fixture = new Fixture();
  fixture.takingWork();
  fixture.directory.recordReport(
    "e-1",
    reportOf({ sequence: 5, runningCount: 4 }),
  );
  fixture.directory.recordReport(
    "e-1",
    reportOf({ sequence: 4, runningCount: 0 }),
  );
  const view = fixture.directory.views("models", WORK)
    .find((view) => view.server === "e-1");
  assert.equal(view?.report?.runningCount, 4);
});

test("a version that is still loading is not available", () => {
  const fixture = new Fixture();
  fixture.takingWork();
  const versions = [{
    version: "tagger@1" as const,
    state: "loading" as const,
    adapters: [],
  }];
  fixture.directory.recordReport("e-1", reportOf({ versions }));
  const view = fixture.directory.views("models", WORK)
    .find((view) => view.server === "e-1");
  assert.equal(view?.versions?.has("tagger@1"), false);
});

test("a server that never answers polls doesn't starve the others", async () => {
  const fixture = new Fixture();
  fixture.takingWork();
  const polled: string[] = [];
  const options = {
    directory: fixture.directory,
    fetchReport: (vm: Vm) => {
      polled.push(vm.vm);
      const report = vm.vm === "e-1" ? undefined : reportOf();
      return Promise.resolve(report);
    },
    sleep: () => Promise.resolve(),
    periodMs: 100,
    reportAgeMs: 1000,
    maxPollsPerPeriod: 1,
  };
  for (let count = 0; count < 4; count += 1) {
    fixture.nowMs += 1000;
    await pollOnce(options);
  }
  assert.deepEqual(polled.toSorted(), ["e-1", "e-1", "e-2", "e-2"]);
});

test("work in flight is counted until it is finished, and only once", () => {
  const fixture = new Fixture();
  fixture.takingWork();
  const use = fixture.directory.begin("e-1", WORK);
  const inFlight = (): number | undefined =>
    fixture.directory.views("models", WORK)
      .find((view) => view.server === "e-1")?.ownInFlightCount;
  assert.equal(inFlight(), 1);
  const result = {
    verdict: "neutral",
    firstTokenMs: undefined,
    serviceMs: undefined,
    tokenMs: undefined,
  } as const;
  use.finish(result);
  use.finish(result);
  assert.equal(inFlight(), 0);
});

test("a slow server is detected whatever work it gets", () => {
  const fixture = new Fixture();
  fixture.takingWork();
  for (let count = 0; count < 20; count += 1) {
    for (const [server, tokenMs] of [["e-1", 40], ["e-2", 10]] as const) {
      fixture.directory.begin(server, WORK).finish({
        verdict: "success",
        firstTokenMs: 100,
        serviceMs: server === "e-1" ? 100 : 5000,
        tokenMs,
      });
    }
  }
  const [slow, fast] = ["e-1", "e-2"].map((server) =>
    fixture.directory.views("models", WORK)
      .find((view) => view.server === server)?.firstTokenMs ?? 0
  );
  assert.ok((slow ?? 0) > 2 * (fast ?? 0), `${slow} against ${fast}`);
});
