/** Tests of the limits that backend servers name. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { serverOf } from "../decision/manifest_fixture.ts";
import { type Logger, silentLogger } from "../model/mod.ts";
import { ServerLimits } from "./server_limits.ts";

interface LoggedLine {
  readonly event: string;
  readonly fields: unknown;
}

function loggerTo(lines: LoggedLine[]): Logger {
  const log = (event: string, fields?: unknown): void => {
    lines.push({ event, fields });
  };
  return { ...silentLogger, info: log, warn: log };
}

test("a limit holds until an answer without one, and changes are logged", () => {
  const lines: LoggedLine[] = [];
  const limits = new ServerLimits({ logger: loggerTo(lines) });
  const server = serverOf("server-1");
  for (const named of [undefined, 1.5, 1.5, undefined]) {
    limits.record(server, named);
    assert.equal(limits.limitOf(server), named);
  }
  assert.deepEqual(lines, [
    {
      event: "server limit changed",
      fields: { server: "server-1", limitPerSecond: 1.5, before: undefined },
    },
    {
      event: "server limit changed",
      fields: { server: "server-1", limitPerSecond: undefined, before: 1.5 },
    },
  ]);
});

test("a malformed limit changes nothing and is logged once per server", () => {
  const lines: LoggedLine[] = [];
  const limits = new ServerLimits({ logger: loggerTo(lines) });
  const server = serverOf("server-1");
  limits.record(server, 2);
  lines.length = 0;
  for (let count = 0; count < 3; count++) limits.record(server, NaN);
  assert.equal(limits.limitOf(server), 2);
  assert.equal(lines.length, 1);
});

test("a server that was started again has no limit", () => {
  const limits = new ServerLimits({ logger: silentLogger });
  limits.record(serverOf("server-1"), 2);
  const restarted = serverOf("server-1", { processStartedAtMs: 99 });
  assert.equal(limits.limitOf(restarted), undefined);
});
