/** Tests of what VMs tell each other of the store's topics. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createMembership } from "../../decision/mod.ts";
import { type Logger, silentLogger } from "../../model/mod.ts";
import { type StoreRecord } from "../store/store_record.ts";
import { TopicReplica } from "../store/topic_replica.ts";
import { PeerExchange, type PeerExchangeOptions } from "./peer_exchange.ts";
import { parsePeerUpdate, type PeerUpdate, TOPICS } from "./peer_update.ts";

interface Setup {
  readonly clock: { nowMs: number };
  readonly operators: TopicReplica;
  readonly servers: TopicReplica;
  readonly warnings: string[];
  /** Gives the VM an update and returns what it answers. */
  readonly answer: (
    topics?: Record<string, unknown>,
  ) => PeerUpdate | undefined;
}

/** A part of the gateway that knows nothing and takes anything. */
const nothing = new Proxy({}, { get: () => (): unknown[] => [] });

function setUp(): Setup {
  const clock = { nowMs: 1000 };
  const replicaOf = (): TopicReplica =>
    new TopicReplica({
      clock: () => clock.nowMs,
      isSame: (a, b) => a.equals(b),
      onChange: () => {},
    });
  const [operators, servers] = [replicaOf(), replicaOf()];
  const warnings: string[] = [];
  const logger: Logger = {
    ...silentLogger,
    warn: (event) => void warnings.push(event),
  };
  const self = { vm: "vm-1", place: "a", address: "", peerAddress: "" };
  const membership = createMembership(self, { nowMs: 0 });
  const parts: Partial<PeerExchangeOptions> = {
    vm: "vm-1",
    replicas: { operators, servers },
    clock: () => clock.nowMs,
    random: () => 0.5,
    logger,
  };
  const others = {
    node: () => ({ membership: () => membership }),
    leases: { answer: () => undefined },
    registry: { rollouts: new Map() },
    admission: { merge: () => {}, toShare: () => undefined },
    prompts: {
      merge: () => {},
      toShare: () => ({ crashes: [], survived: [] }),
    },
  };
  const options = new Proxy({ ...others, ...parts }, {
    get: (target, name) => Reflect.get(target, name) ?? nothing,
  });
  const exchange = new PeerExchange(options as unknown as PeerExchangeOptions);
  const answer: Setup["answer"] = (topics = {}) =>
    parsePeerUpdate(exchange.answer("vm-2", {
      teller: "vm-2#a",
      have: { operators: null, servers: null },
      topics,
      rollouts: [],
    }));
  return { clock, operators, servers, warnings, answer };
}

function recordsOf(count: number, bytes: number): StoreRecord[] {
  return Array.from({ length: count }, (_, offset) => ({
    key: `key ${offset}`,
    value: Buffer.alloc(bytes, 1),
    offset,
  }));
}

// Guards against DRAIN: a VM that was held up reads what others sent it before and
// takes it for the newest, also as it tells others.
test("what another VM has sent unasked brings records and proves no age", () => {
  const { clock, servers, answer } = setUp();
  servers.applyList({ records: [], nextOffset: 0 }, 1000);
  clock.nowMs = 9000;
  const records = [{ key: "a", value: Buffer.from("x"), offset: 0 }];
  const told = answer({
    servers: { records, isWhole: false, nextOffset: 1, ageMs: 100 },
  });
  assert.equal(servers.nextOffset, 1);
  assert.equal(servers.ageMs, 8000);
  assert.equal(told?.topics.servers?.ageMs, 8000);
});

test("a VM that never knew a topic to be up to date says so", () => {
  const { servers, answer } = setUp();
  const told = answer({
    servers: { records: [], isWhole: true, nextOffset: 1, ageMs: 100 },
  });
  assert.equal(servers.ageMs, Infinity);
  assert.ok((told?.topics.servers?.ageMs ?? 0) > 1e9);
});

// Guards against VMs that learn nothing of each other any more, as their updates
// are longer than a frame.
test("a topic that is too long for an update is left out of it", () => {
  const { operators, servers, warnings, answer } = setUp();
  const [short, long] = [recordsOf(3, 20), recordsOf(1400, 2000)];
  operators.applyList({ records: long, nextOffset: 1400 }, 1000);
  servers.applyList({ records: long, nextOffset: 1400 }, 1000);
  const told = answer();
  assert.deepEqual(Object.keys(told?.topics ?? {}), ["operators"]);
  assert.deepEqual(warnings, ["topic too large for an update"]);
  servers.applyList({ records: short, nextOffset: 2000 }, 1000);
  assert.deepEqual(Object.keys(answer()?.topics ?? {}), TOPICS);
});
