/** Tests of nodes over sockets: joining, refusals, records, broken paths. */
import assert from "node:assert/strict";
import { type Socket } from "node:net";
import { test } from "node:test";
import { type RecordOf } from "../state/mod.ts";
import {
  connectSocket,
  editEntry,
  hasAliveMember,
  MemoryBills,
  MemoryRecords,
  nodeOf,
  startListener,
  startNode,
  until,
} from "./peer_fixture.ts";
import { type PeerNode } from "./peer_node.ts";

async function closeAll(nodes: readonly PeerNode[]): Promise<void> {
  for (const node of nodes) await node.close();
}

const bill: RecordOf<"bill"> = {
  kind: "bill",
  isWhole: true,
  id: "bill-1",
  requestId: "request-1",
  workspace: "/khomas/heritage",
  requestClass: "lookup",
  lines: [],
  priceMicroEur: 7,
  vm: "vm-a",
};

test("nodes discover one another through a seed", async () => {
  const a = nodeOf("vm-a");
  const seed = await startNode(a);
  const b = nodeOf("vm-b", { seeds: [seed] });
  const c = nodeOf("vm-c", { seeds: [seed] });
  await startNode(b);
  await startNode(c);
  await until(() =>
    hasAliveMember(b, "vm-c") && hasAliveMember(c, "vm-b") &&
    hasAliveMember(a, "vm-b")
  );
  await closeAll([a, b, c]);
});

for (
  const [name, fields] of [
    ["a wrong key", { sharedKey: "another key" }],
    ["another deployment", { deployment: "tullagh" }],
  ] as const
) {
  test(`a peer with ${name} is refused by both sides`, async () => {
    let refusedCount = 0;
    const metrics = {
      count: (metric: string): void => {
        if (metric === "wire.refused") refusedCount += 1;
      },
      gauge: (): void => {},
      timing: (): void => {},
    };
    const a = nodeOf("vm-a", { metrics });
    const seed = await startNode(a);
    const b = nodeOf("vm-b", { seeds: [seed], ...fields });
    await startNode(b);
    await until(() => refusedCount >= 2);
    assert.equal(a.membership().members.size, 0);
    assert.equal(b.membership().members.size, 0);
    await closeAll([a, b]);
  });
}

test("a node without the log receives records from its peers", async () => {
  const ahead = new MemoryRecords();
  const behind = new MemoryRecords();
  const ENTRIES = 700;
  for (let offset = 0; offset < ENTRIES; offset++) {
    ahead.entries.push(editEntry(offset));
  }
  const a = nodeOf("vm-a", { records: ahead });
  const b = nodeOf("vm-b", { records: behind, seeds: [await startNode(a)] });
  await startNode(b);
  await until(() => behind.entries.length === ENTRIES);
  assert.deepEqual(behind.entries, ahead.entries);
  await closeAll([a, b]);
});

test("a peer stores bills up to its capacity and drops them on request", async () => {
  const bills = new MemoryBills(1);
  const a = nodeOf("vm-a");
  const b = nodeOf("vm-b", { bills, seeds: [await startNode(a)] });
  await startNode(b);
  await until(() => hasAliveMember(a, "vm-b"));
  const options = { timeoutMs: 2000 };
  const first = await a.query("vm-b", { kind: "hold_bill", bill }, options);
  assert.deepEqual(first._unsafeUnwrap(), { kind: "held", isHeld: true });
  const next = { ...bill, requestId: "request-2" };
  const second = await a.query(
    "vm-b",
    { kind: "hold_bill", bill: next },
    options,
  );
  assert.deepEqual(second._unsafeUnwrap(), { kind: "held", isHeld: false });
  const drop = { kind: "drop_bill", requestId: "request-1" } as const;
  await a.query("vm-b", drop, options);
  assert.equal(bills.storedBills.size, 0);
  const unknown = await a.query("vm-z", drop, options);
  assert.equal(unknown._unsafeUnwrapErr().fault, "unknown_peer");
  await closeAll([a, b]);
});

test("a connection that lost its path is replaced before its VM is declared dead", async () => {
  let target = "";
  let isSilent = false;
  const pipes: { socket: Socket; isDead: boolean }[] = [];
  const proxy = await startListener((socket) => {
    void (async () => {
      const pipe = { socket, isDead: false };
      pipes.push(pipe);
      const upstream = await connectSocket(target);
      socket.on("data", (chunk) => pipe.isDead || upstream.write(chunk));
      upstream.on("data", (chunk) => pipe.isDead || socket.write(chunk));
      socket.on("close", () => upstream.destroy());
    })();
  });
  const a = nodeOf("vm-a", { advertisedPeerAddress: proxy.address });
  target = await startNode(a);
  const statuses: string[] = [];
  const logger = {
    info: (_event: string, fields?: Record<string, unknown>): void => {
      if (isSilent) statuses.push(String(fields?.["status"]));
    },
    warn: (): void => {},
    error: (): void => {},
  };
  const b = nodeOf("vm-b", { seeds: [proxy.address], logger });
  await startNode(b);
  await until(() => hasAliveMember(b, "vm-a") && hasAliveMember(a, "vm-b"));
  isSilent = true;
  for (const pipe of pipes) pipe.isDead = true;
  const before = pipes.length;
  await until(() => pipes.length > before);
  await until(() => hasAliveMember(b, "vm-a") && hasAliveMember(a, "vm-b"));
  assert.equal(statuses.includes("dead"), false);
  await closeAll([a, b]);
  proxy.close();
});

// Guards against CONFIG: a VM that waits for a peer which takes connections and
// does not answer learns late of manifests.
test("the time limit of a query includes the connection", async (context) => {
  const listener = await startListener(() => {});
  context.after(listener.close);
  const node = nodeOf("vm-a");
  await startNode(node);
  context.after(() => node.close());
  node.applyVmList([{
    vm: "vm-b",
    place: "khomas-a",
    kind: "entry",
    service: "",
    status: "live",
    address: "",
    peerAddress: listener.address,
  }]);
  const sentAtMs = performance.now();
  const query = { kind: "exchange", news: null } as const;
  const answer = await node.query("vm-b", query, { timeoutMs: 200 });
  assert.equal(answer.isErr() && answer.error.fault, "timeout");
  assert.ok(performance.now() - sentAtMs < 600);
});
