/** Tests of which backend servers a directory gives new work. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { LEAVING_HOLD_MS } from "../decision/mod.ts";
import { type Vm } from "../model/mod.ts";
import { type ServerReport } from "./load_report.ts";
import { ServerDirectory } from "./server_directory.ts";

const ENGINE: Vm = {
  vm: "e-1",
  kind: "engine",
  service: "models",
  place: "khomas-a",
  address: "127.0.0.1:1",
  peerAddress: "",
  status: "live",
};

class Site {
  vms: readonly Vm[] = [ENGINE];
  drainedPlaces: string[] = [];
  nowMs = 0;
  readonly directory: ServerDirectory = new ServerDirectory({
    self: "vm-1",
    source: { vms: () => this.vms, ageMs: () => 0 },
    places: ["khomas-a"],
    clock: () => this.nowMs,
    drains: () => ({ places: this.drainedPlaces, servers: [] }),
    priorFirstTokenMs: 100,
    priorServiceMs: 100,
  });

  list(status: Vm["status"]): void {
    this.vms = [{ ...ENGINE, status }];
  }

  report(isLeaving: boolean): void {
    const report: ServerReport = {
      server: "e-1",
      sequence: this.nowMs,
      versions: [],
      runningCount: 0,
      queuedCount: 0,
      slotCount: 8,
      memoryMb: 0,
      usedMemoryMb: 0,
      role: "both",
      isLeaving,
    };
    this.directory.recordReport("e-1", report);
  }

  get isTakingWork(): boolean {
    return this.directory.views("models", "")[0]?.isTakingWork ?? false;
  }
}

test("each sign of leaving ends new work when it is seen", () => {
  const byList = new Site();
  assert.equal(byList.isTakingWork, true);
  byList.list("leaving");
  assert.equal(byList.isTakingWork, false);
  const byReport = new Site();
  assert.equal(byReport.isTakingWork, true);
  byReport.report(true);
  assert.equal(byReport.isTakingWork, false);
  const byAnswer = new Site();
  assert.equal(byAnswer.isTakingWork, true);
  byAnswer.directory.markLeaving("e-1");
  assert.equal(byAnswer.isTakingWork, false);
  const byDrain = new Site();
  byDrain.drainedPlaces = ["khomas-a"];
  assert.equal(byDrain.isTakingWork, false);
});

test("two polls without an answer end new work until one is answered", () => {
  const site = new Site();
  assert.equal(site.isTakingWork, true);
  site.report(false);
  site.directory.recordFailedPoll("e-1");
  assert.equal(site.isTakingWork, true);
  site.directory.recordFailedPoll("e-1");
  assert.equal(site.isTakingWork, false);
  site.directory.recordReport("e-1", undefined);
  assert.equal(site.isTakingWork, false);
  site.nowMs += 1000;
  site.report(false);
  assert.equal(site.isTakingWork, true);
});

test("a list that flaps or lags gives a leaving server no new work", () => {
  const site = new Site();
  for (const status of ["leaving", "live", "leaving", "live"] as const) {
    site.list(status);
    assert.equal(site.isTakingWork, false);
    site.nowMs += 5000;
  }
  site.nowMs += LEAVING_HOLD_MS;
  assert.equal(site.isTakingWork, true);
  site.directory.markLeaving("e-1");
  site.nowMs += 10 * LEAVING_HOLD_MS;
  site.list("live");
  assert.equal(site.isTakingWork, false);
});

test("while the list is down its last word stands", () => {
  const site = new Site();
  site.list("leaving");
  assert.equal(site.isTakingWork, false);
  site.nowMs += 10 * LEAVING_HOLD_MS;
  assert.equal(site.isTakingWork, false);
});
