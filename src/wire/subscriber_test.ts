/** Tests of a controller's connection to the entry of its VM. */
import assert from "node:assert/strict";
import { performance } from "node:perf_hooks";
import { test } from "node:test";
import { type MemberUpdate } from "../decision/mod.ts";
import { silentLogger } from "../model/mod.ts";
import {
  editEntry,
  hasAliveMember,
  MemoryRecords,
  nodeOf,
  sleep,
  startNode,
  until,
} from "./peer_fixture.ts";
import { createSubscriber, type Subscriber } from "./subscriber.ts";

function subscriberOf(fields: {
  readonly peerAddress: string;
  readonly records: MemoryRecords;
  readonly onMembers?: (members: readonly MemberUpdate[]) => void;
}): Subscriber {
  return createSubscriber({
    vm: "vm-a",
    deployment: "kavango",
    sharedKey: "a shared key",
    periodMs: 20,
    onMembers: () => {},
    clock: () => performance.now(),
    sleep,
    logger: silentLogger,
    ...fields,
  });
}

test("a subscriber receives records and members without being a member", async () => {
  const ahead = new MemoryRecords();
  const records = new MemoryRecords();
  const a = nodeOf("vm-a", { records: ahead });
  const peerAddress = await startNode(a);
  const b = nodeOf("vm-b", { seeds: [peerAddress] });
  await startNode(b);
  await until(() => hasAliveMember(a, "vm-b"));
  let names: string[] = [];
  const subscriber = subscriberOf({
    peerAddress,
    records,
    onMembers: (members) => names = members.map(({ vm }) => vm),
  });
  subscriber.start();
  for (let offset = 0; offset < 3; offset++) {
    ahead.entries.push(editEntry(offset));
    await until(() => records.entries.length === ahead.entries.length);
  }
  assert.deepEqual(names.sort(), ["vm-a", "vm-b"]);
  assert.deepEqual([...a.membership().members.keys()], ["vm-b"]);
  await subscriber.close();
  await a.close();
  await b.close();
});

test("a subscriber reconnects to a restarted entry", async () => {
  const records = new MemoryRecords();
  const first = nodeOf("vm-a");
  const peerAddress = await startNode(first);
  let pollCount = 0;
  const subscriber = subscriberOf({
    peerAddress,
    records,
    onMembers: () => pollCount += 1,
  });
  subscriber.start();
  await until(() => pollCount > 0);
  await first.close();
  const ahead = new MemoryRecords();
  ahead.entries.push(editEntry(0));
  const listenPort = Number(peerAddress.split(":")[1]);
  const second = nodeOf("vm-a", { listenPort, records: ahead });
  await startNode(second);
  await until(() => records.entries.length === 1);
  await subscriber.close();
  await second.close();
});
