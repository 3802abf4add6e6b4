/** Tests of whether a backend server gets new work, by its health signals. */
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

class Fixture {
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

test("each signal of a shutdown stops new work immediately", () => {
  const byList = new Fixture();
  assert.equal(byList.isTakingWork, true);
  byList.list("leaving");
  assert.equal(byList.isTakingWork, false);
  const byReport = new Fixture();
  assert.equal(byReport.isTakingWork, true);
  byReport.report(true);
  assert.equal(byReport.isTakingWork, false);
  const byAnswer = new Fixture();
  assert.equal(byAnswer.isTakingWork, true);
  byAnswer.directory.markLeaving("e-1");
  assert.equal(byAnswer.isTakingWork, false);
  const byDrain = new Fixture();
  byDrain.drainedPlaces = ["khomas-a"];
  assert.equal(byDrain.isTakingWork, false);
});

test("two failed polls stop new work until a poll succeeds", () => {
  const fixture = new Fixture();
  assert.equal(fixture.isTakingWork, true);
  fixture.report(false);
  fixture.directory.recordFailedPoll("e-1");
  assert.equal(fixture.isTakingWork, true);
  fixture.directory.recordFailedPoll("e-1");
  assert.equal(fixture.isTakingWork, false);
  fixture.directory.recordReport("e-1", undefined);
  assert.equal(fixture.isTakingWork, false);
  fixture.nowMs += 1000;
  fixture.report(false);
  assert.equal(fixture.isTakingWork, true);
});

test("a flapping or lagging list gives a leaving server no new work", () => {
  const fixture = new Fixture();
  for (const status of ["leaving", "live", "leaving", "live"] as const) {
    fixture.list(status);
    assert.equal(fixture.isTakingWork, false);
    fixture.nowMs += 5000;
  }
  fixture.nowMs += LEAVING_HOLD_MS;
  assert.equal(fixture.isTakingWork, true);
  fixture.directory.markLeaving("e-1");
  fixture.nowMs += 10 * LEAVING_HOLD_MS;
  fixture.list("live");
  assert.equal(fixture.isTakingWork, false);
});

test("the last listed status applies while the list is not updated", () => {
  const fixture = new Fixture();
  fixture.list("leaving");
  assert.equal(fixture.isTakingWork, false);
  fixture.nowMs += 10 * LEAVING_HOLD_MS;
  assert.equal(fixture.isTakingWork, false);
});
