/**
 * Tests of streams through another VM, of which connections fall silent for
 * good: those between the VMs, and those of callers.
 */
import assert from "node:assert/strict";
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import { type Socket } from "node:net";
import process from "node:process";
import { test, type TestContext } from "node:test";
import { routeOf } from "../../decision/manifest_fixture.ts";
import { playStream, summaryOf } from "../callers/stream_caller_fixture.ts";
import {
  drawFrom,
  eventsOfLength,
  randomFor,
  RETRY_BOUND,
  startStreamServers,
} from "../callers/stream_server_fixture.ts";
import { startCutOff } from "../cut_off_fixture.ts";
import { call } from "../gateway_fixture.ts";

const SEEDS = (process.env["PLAY_SEEDS"] ?? "3").split(",").map(Number);
const STREAM_COUNT = 40;
const EVENTS = { count: 40, bytes: { min: 20, max: 400 } };
const ENDS = ["close", "reset", "stall", "late", "whole", "whole"] as const;
const ROUTE = routeOf({ maxAttempts: 6, gapTargetMs: 200, timeoutMs: 8000 });
const SILENCE_PERIOD_MS = 150;
const SILENT_SHARE = 0.4;
/** A caller waits longer than its VM for the next event. */
const LEAVE_AFTER_MS = 900;
const SETTINGS = { retryBound: RETRY_BOUND };

/** The open connections that servers and VMs in this process have accepted. */
function trackAccepted(context: TestContext): ReadonlySet<Socket> {
  const sockets = new Set<Socket>();
  const add = (message: unknown): void => {
    const { socket } = message as { readonly socket: Socket };
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
  };
  subscribe("net.server.socket", add);
  context.after(() => unsubscribe("net.server.socket", add));
  return sockets;
}

// Guards against ORDER where a stream goes on through another VM, or its caller
// returns, while the connection that was left is only silent.
for (const seed of SEEDS) {
  test(`streams over silent connections go on with the next event, seed ${seed}`, async (context) => {
    const random = randomFor(seed);
    const streams = Array.from({ length: STREAM_COUNT }, (_, index) => {
      const stream = `s${index}`;
      return { stream, events: eventsOfLength({ stream, random, ...EVENTS }) };
    });
    const sockets = trackAccepted(context);
    const ids = Array.from({ length: 9 }, (_, index) => `server-${index}`);
    const servers = await startStreamServers(
      context,
      ids,
      ({ stream, last, arrival }) => {
        const index = Number(stream.slice(1));
        const draw = randomFor(seed, index, arrival);
        const bytes = Buffer.concat(streams[index]?.events.slice(last) ?? []);
        const end = arrival > 6 ? "whole" : drawFrom(ENDS, draw);
        const isWhole = end === "whole";
        const at = isWhole ? bytes.length : Math.floor(draw() * bytes.length);
        return {
          bytes: bytes.subarray(0, at),
          rest: bytes.subarray(at),
          lateMs: 500,
          chunkBytes: [100, 7],
          paceMs: 5,
          end,
        };
      },
    );
    const { cutOff, others } = await startCutOff(context, {
      servers,
      others: [SETTINGS, SETTINGS],
      manifest: { routes: [ROUTE] },
      settings: SETTINGS,
    });
    // The VM finds that it reaches no server.
    await call(cutOff.callerAddress, {}).catch(() => undefined);
    const vms = [cutOff, ...others].map(({ callerAddress }) => callerAddress);
    const relayPorts = vms.map((address) => Number(address.split(":")[1]));
    const counts = { between: 0, callers: 0 };
    const timer = setInterval(() => {
      for (const socket of sockets) {
        const vm = relayPorts.indexOf(socket.localPort ?? 0);
        if (vm < 0 || random() > SILENT_SHARE) continue;
        // Callers connect to the VM that is cut off first.
        counts[vm === 0 ? "callers" : "between"] += 1;
        socket.write = () => true;
        socket.end = () => socket;
      }
    }, SILENCE_PERIOD_MS);
    context.after(() => clearInterval(timer));
    setTimeout(() => clearInterval(timer), 2500);
    const results = await Promise.all(
      streams.map(({ stream, events }) =>
        playStream(vms, {
          stream,
          events,
          path: `/drafts/${stream}`,
          leaveAfterMs: LEAVE_AFTER_MS,
          maxAnswers: 20,
        })
      ),
    );
    const { faults, wholeCount, cutCount } = summaryOf(results);
    const relays = /repeats\S* \d+/g;
    context.diagnostic(
      `${wholeCount} whole, ${cutCount} cut, ${JSON.stringify(counts)}, ${
        cutOff.gateway.metricsText().match(relays)?.join(" ")
      }`,
    );
    assert.deepEqual(faults, []);
    assert.ok(wholeCount > STREAM_COUNT / 2, `${wholeCount}`);
  });
}
