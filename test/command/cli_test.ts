/** Tests of the command line as a process, against the log's stand-in. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { LogStandin } from "../../standin/mod.ts";
import { HttpHost, sendJson } from "../../standin/http_host.ts";
import { runCli } from "./run_cli.ts";

test("an edit is published, awaited, explained and listed", async () => {
  const log = new LogStandin({});
  let revision = 0;
  const entry = new HttpHost(({ headers, response }) => {
    assert.equal(headers.authorization, "Bearer secret");
    revision += 500;
    sendJson(response, 200, { vm: "vm-1", revision });
  });
  const logUrl = `http://${await log.listen()}`;
  const address = await entry.listen();
  const common = ["--log-url", logUrl];
  const awaited = [...common, "--entry", address, "--token", "secret"];
  try {
    const set = await runCli(
      ["settings", "set", "/khomas", "maxConcurrent=5", ...awaited],
    );
    assert.equal(set.status, 0, set.errors);
    assert.match(set.output, /in force on 1 entry VMs/);
    const explained = await runCli(
      ["settings", "explain", "/khomas/heritage", ...common],
    );
    assert.match(explained.output, /^maxConcurrent +\/khomas +5$/m);
    const withdrawn = await runCli(
      ["settings", "withdraw", "/", "tagger@3", "--no-wait", ...common],
    );
    assert.equal(withdrawn.status, 0, withdrawn.errors);
    const history = await runCli(["settings", "history", ...common]);
    assert.match(history.output, /accepted +\/khomas .*maxConcurrent":5/);
    assert.match(history.output, /accepted +\/ .*tagger@3/);
    assert.equal(log.records("control").length, 2);
  } finally {
    await Promise.all([log.close(), entry.close()]);
  }
});

test("exit statuses distinguish a timeout, a fault and an outage", async () => {
  const log = new LogStandin({});
  const logUrl = `http://${await log.listen()}`;
  const common = ["--log-url", logUrl, "--timeout", "1"];
  try {
    const faulty = await runCli(
      ["settings", "set", "/a", "maxConcurrent=-1", ...common],
    );
    assert.equal(faulty.status, 78);
    const alone = await runCli(
      ["settings", "set", "/a", "maxConcurrent=1", ...common],
    );
    assert.equal(alone.status, 4);
    assert.match(alone.errors, /no entry VM is known/);
    log.switches.isDown = true;
    const down = await runCli(["settings", "show", ...common]);
    assert.equal(down.status, 69);
  } finally {
    await log.close();
  }
});
