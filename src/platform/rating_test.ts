/** Tests of the client of the rating service. */
import assert from "node:assert/strict";
import { createServer, type RequestListener } from "node:http";
import { type AddressInfo } from "node:net";
import { test } from "node:test";
import { createRatingClient, type RatingClient } from "./rating.ts";

interface Fixture {
  readonly client: RatingClient;
  readonly calls: () => number;
  readonly advance: (durationMs: number) => void;
  readonly close: () => Promise<void>;
}

async function createFixture(listener: RequestListener): Promise<Fixture> {
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
    timeoutMs: 50,
    maxConcurrent: 2,
    clock: () => nowMs,
  });
  return {
    client,
    calls: () => callCount,
    advance: (durationMs) => {
      nowMs += durationMs;
    },
    close: async () => {
      await client.close();
      server.closeAllConnections();
      await new Promise((done) => server.close(done));
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

test("a rated answer gives its score", async () => {
  const fixture = await createFixture((_, response) => {
    response.end(JSON.stringify({ scoreShare: 0.83 }));
  });
  assert.equal(await outcomeOf(fixture.client), 0.83);
  await fixture.close();
});

test("a silent service is asked no more until the pause is over", async () => {
  const fixture = await createFixture(() => {});
  for (let call = 0; call < 3; call += 1) {
    assert.equal(await outcomeOf(fixture.client), "timeout");
  }
  assert.equal(fixture.client.isAvailable(), false);
  assert.equal(await outcomeOf(fixture.client), "unavailable");
  assert.equal(fixture.calls(), 3);
  fixture.advance(1000);
  assert.equal(await outcomeOf(fixture.client), "timeout");
  assert.equal(await outcomeOf(fixture.client), "unavailable");
  await fixture.close();
});

test("calls beyond the bound are refused at once", async () => {
  const fixture = await createFixture(() => {});
  const outcomes = await Promise.all(
    [1, 2, 3].map(() => outcomeOf(fixture.client)),
  );
  assert.deepEqual(outcomes.sort(), ["busy", "timeout", "timeout"]);
  await fixture.close();
});

test("an answer out of range is no rating", async () => {
  const fixture = await createFixture((_, response) => {
    response.end(JSON.stringify({ scoreShare: 7 }));
  });
  assert.equal(await outcomeOf(fixture.client), "malformed");
  await fixture.close();
});
