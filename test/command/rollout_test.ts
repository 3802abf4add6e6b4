/** Tests of the roll-out and fleet commands against stand-ins. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { HttpHost, sendJson } from "../../standin/http_host.ts";
import { LogStandin } from "../../standin/mod.ts";
import { EXIT_STATUS } from "../../src/command/exit_status.ts";
import { runCli } from "./run_cli.ts";

const START: readonly string[] = [
  "rollout",
  "start",
  "tagger-4",
  "--version",
  "tagger@4",
  "--baseline",
  "tagger@3",
];

test("a roll-out is started, paused, shown and withdrawn", async () => {
  const log = new LogStandin({});
  const common = ["--log-url", `http://${await log.listen()}`];
  try {
    const started = await runCli([
      ...START,
      "--steps",
      "5,100",
      "--no-wait",
      ...common,
    ]);
    assert.equal(started.status, 0, started.errors);
    const paused = await runCli(
      ["rollout", "pause", "tagger-4", "--no-wait", ...common],
    );
    assert.equal(paused.status, 0, paused.errors);
    const shown = await runCli(["rollout", "status", ...common]);
    const [status] = JSON.parse(shown.output) as Record<string, unknown>[];
    assert.equal(status?.version, "tagger@4");
    assert.equal(status?.verdict, "not started");
    assert.equal(status?.next, "hold: paused");
    assert.equal(status?.exposureShare, 0);
    const withdrawn = await runCli(
      ["rollout", "withdraw", "tagger-4", "--no-wait", ...common],
    );
    assert.equal(withdrawn.status, 0, withdrawn.errors);
    const root = await runCli(["settings", "show", ...common]);
    assert.match(root.output, /"version": "tagger@4",\s+"running": "finish"/);
  } finally {
    await log.close();
  }
});

test("an invalid plan and an unknown roll-out change nothing", async () => {
  const log = new LogStandin({});
  const common = ["--log-url", `http://${await log.listen()}`];
  try {
    const faulty = await runCli([...START, "--steps", "5,500", ...common]);
    assert.equal(faulty.status, EXIT_STATUS.faultySettings);
    const unknown = await runCli(["rollout", "pause", "other", ...common]);
    assert.equal(unknown.status, EXIT_STATUS.faultySettings);
    assert.equal(log.records("control").length, 0);
  } finally {
    await log.close();
  }
});

test("fleet show lists engines that do not answer", async () => {
  const log = new LogStandin({});
  const engine = new HttpHost(({ response }) => {
    sendJson(response, 200, {
      server: "e-1",
      sequence: 1,
      versions: [{ version: "tagger@3", state: "loaded", adapters: [] }],
      runningCount: 2,
      queuedCount: 0,
      slotCount: 8,
    });
  });
  const addresses = { "e-1": await engine.listen(), "e-2": "127.0.0.1:9" };
  const list = new HttpHost(({ response }) => {
    const vms = Object.entries(addresses).map(([vm, address]) => ({
      vm,
      kind: "engine",
      service: "models",
      place: "khomas-a",
      address,
      peerAddress: "",
      status: "live",
    }));
    sendJson(response, 200, { vms });
  });
  const logUrl = `http://${await log.listen()}`;
  const vmListUrl = `http://${await list.listen()}`;
  try {
    const shown = await runCli(
      ["fleet", "show", "--log-url", logUrl, "--vm-list-url", vmListUrl],
    );
    assert.equal(shown.status, 0, shown.errors);
    const fleet = JSON.parse(shown.output) as {
      engines: { server: string; status: string; versions: string[] }[];
    };
    const rows = fleet.engines.map(({ server, status, versions }) =>
      [server, status, ...versions].join(" ")
    );
    assert.deepEqual(rows, ["e-1 serving tagger@3", "e-2 no report"]);
  } finally {
    await Promise.all([log.close(), engine.close(), list.close()]);
  }
});
