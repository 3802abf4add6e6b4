/** Tests of what a VM's metrics tell of the ends of streams. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { routeOf } from "../../decision/manifest_fixture.ts";
import {
  beginStream,
  eventsOf,
  startBackend,
} from "../servers/backend_fixture.ts";
import { call, startGateway, untilReady } from "../gateway_fixture.ts";
import { until } from "../until_fixture.ts";

// Guards against an unmarked or cut end that the metrics don't tell from a
// complete one, as in the incident ORDER.
test("the metrics tell apart how streams ended", async (context) => {
  const backend = await startBackend("one", (request, response) => {
    const id = request.headers["test-id"];
    if (id === "unmarked") {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    beginStream(request, response);
    response.write(eventsOf(1, 2));
    if (id === "broken") setTimeout(() => request.socket.destroy(), 20);
    else if (id !== "left") response.end(eventsOf(3, 3));
  });
  const vm = await startGateway({
    backends: [backend],
    manifest: { routes: [routeOf({ isResumable: false, maxAttempts: 1 })] },
  });
  context.after(async () => {
    await vm.gateway.stop();
    await backend.close();
  });
  await untilReady(vm);
  const leaving = new AbortController();
  const stream = (id: string): Promise<unknown> =>
    call(vm.callerAddress, {
      headers: { "test-id": id },
      signal: leaving.signal,
    }).catch(() => undefined);
  await Promise.all(["marked", "unmarked", "broken"].map(stream));
  const left = stream("left");
  await until(() => backend.requestIds.includes("left"));
  setTimeout(() => leaving.abort(), 50);
  await left;
  const counts = ["complete", "cut", "left"].flatMap((caller) =>
    ["marked", "unmarked", "none"].map((server) => ({ caller, server }))
  );
  const countOf = (end: { caller: string; server: string }): number => {
    const pattern = new RegExp(
      `^answer_ends\\{caller="${end.caller}",.*server="${end.server}"\\} (\\d+)`,
      "m",
    );
    return Number(pattern.exec(vm.gateway.metricsText())?.[1] ?? 0);
  };
  await until(() => countOf({ caller: "left", server: "none" }) === 1);
  assert.deepEqual(
    counts.filter((end) => countOf(end) === 1),
    [
      { caller: "complete", server: "marked" },
      { caller: "complete", server: "unmarked" },
      { caller: "cut", server: "none" },
      { caller: "left", server: "none" },
    ],
  );
});
