/** Tests of the VM list client with valid and invalid lists and an outage. */
import assert from "node:assert/strict";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";
import { test } from "node:test";
import { VmListClient } from "./vm_list.ts";

const LIST = {
  vms: [{
    vm: "vm-a",
    kind: "entry",
    service: "",
    place: "dub-a",
    address: "127.0.0.1:80",
    peerAddress: "127.0.0.1:81",
    status: "live",
  }],
};

async function withService(
  answer: (response: ServerResponse) => void,
  body: (baseUrl: string) => Promise<void>,
): Promise<void> {
  const server = createServer((_request, response) => answer(response));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  await body(`http://127.0.0.1:${port}`);
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
}

test("the cached list ages while the service is down", async () => {
  let isDown = false;
  let nowMs = 1000;
  const answer = (response: ServerResponse): void => {
    response.statusCode = isDown ? 503 : 200;
    response.end(JSON.stringify(isDown ? { error: "outage" } : LIST));
  };
  await withService(answer, async (baseUrl) => {
    const client = new VmListClient({ baseUrl, clock: () => nowMs });
    assert.equal(client.last(), undefined);
    assert.deepEqual((await client.refresh())._unsafeUnwrap().vms, LIST.vms);
    isDown = true;
    nowMs += 60_000;
    assert.match(
      (await client.refresh())._unsafeUnwrapErr().message,
      /status 503/,
    );
    assert.deepEqual(client.last(), { vms: LIST.vms, ageMs: 60_000 });
  });
});

for (
  const [name, text, pattern] of [
    ["invalid JSON", "vms", /JSON/],
    ["a row without a place", '{"vms":[{"vm":"a"}]}', /vms\.0\.kind/],
    ["an oversize body", " ".repeat(9 * 1024 * 1024), /over 8388608 bytes/],
  ] as const
) {
  test(`${name} is reported as an error`, async () => {
    await withService((response) => response.end(text), async (baseUrl) => {
      const client = new VmListClient({ baseUrl, clock: () => 0 });
      const { message } = (await client.refresh())._unsafeUnwrapErr();
      assert.match(message, pattern);
    });
  });
}

test("a request to a service that never responds times out", async () => {
  await withService(() => {}, async (baseUrl) => {
    const client = new VmListClient({
      baseUrl,
      clock: () => 0,
      timeoutMs: 50,
    });
    assert.equal((await client.refresh()).isErr(), true);
  });
});
