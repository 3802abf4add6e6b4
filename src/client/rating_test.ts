/** Tests of the rating service client. */
import assert from "node:assert/strict";
import { createServer, type RequestListener } from "node:http";
import { type AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { createRatingClient, type RatingClient } from "./rating.ts";

interface Fixture {
  readonly client: RatingClient;
  readonly calls: () => number;
  readonly advance: (durationMs: number) => void;
}

/** Much longer than a response takes on a busy machine. */
const LONG_TIMEOUT_MS = 30_000;
/** For services that never respond. */
const SHORT_TIMEOUT_MS = 50;

async function createFixture(
  context: TestContext,
  timeoutMs: number,
  listener: RequestListener,
): Promise<Fixture> {
  let callCount = 0;
  let nowMs = 0;
  const server = createServer((request, response) => {
    callCount += 1;
    listener(request, response);
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  const client = createRatingClient({
    origin: `http://127.0.0.1:${port}`,
    timeoutMs,
    maxConcurrent: 2,
    clock: () => nowMs,
  });
  context.after(async () => {
    await client.close();
    server.closeAllConnections();
    await new Promise((done) => server.close(done));
  });
  return {
    client,
    calls: () => callCount,
    advance: (durationMs) => {
      nowMs += durationMs;
    },
  };
}

async function outcomeOf(client: RatingClient): Promise<number | string> {
  const rated = await client.rate({
    requestId: "r-1",
    version: "small@1",
    requestClass: "tagging",
    prompt: "p",
    answer: "a",
  });
  return rated.match((score) => score, (error) => error.fault);
}

test("a rating returns its score", async (context) => {
  const fixture = await createFixture(
    context,
    LONG_TIMEOUT_MS,
    (_, response) => {
      response.end(JSON.stringify({ scoreShare: 0.83 }));
    },
  );
  assert.equal(await outcomeOf(fixture.client), 0.83);
});

test("no calls are sent to an unresponsive service during the breaker pause", async (context) => {
  const fixture = await createFixture(context, SHORT_TIMEOUT_MS, () => {});
  for (let call = 0; call < 3; call += 1) {
    assert.equal(await outcomeOf(fixture.client), "timeout");
  }
  assert.equal(fixture.client.isAvailable(), false);
  assert.equal(await outcomeOf(fixture.client), "unavailable");
  assert.equal(fixture.calls(), 3);
  fixture.advance(1000);
  assert.equal(await outcomeOf(fixture.client), "timeout");
  assert.equal(await outcomeOf(fixture.client), "unavailable");
});

test("calls beyond the limit fail immediately", async (context) => {
  const fixture = await createFixture(context, SHORT_TIMEOUT_MS, () => {});
  const outcomes = await Promise.all(
    [1, 2, 3].map(() => outcomeOf(fixture.client)),
  );
  assert.deepEqual(outcomes.sort(), ["busy", "timeout", "timeout"]);
});

test("a score out of range is malformed", async (context) => {
  const fixture = await createFixture(
    context,
    LONG_TIMEOUT_MS,
    (_, response) => {
      response.end(JSON.stringify({ scoreShare: 7 }));
    },
  );
  assert.equal(await outcomeOf(fixture.client), "malformed");
});
