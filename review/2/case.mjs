// Plain JavaScript has no return types.
// deno-lint-ignore-file explicit-function-return-type
/**
 * One of seven model workers fails two fifths of its requests, with a status
 * from 400 to 499. Another one crashes every few seconds, in the middle of the
 * streams that it serves; those may be resumed and go on at the others. No
 * process of the system may end by that.
 */
import { Agent } from "node:http";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { send } from "../lib/client.mjs";
import {
  delay,
  manifestOf,
  runCase,
  startDeployment,
  TROUBLE,
} from "../lib/deployment.mjs";
import { WorkerStandin } from "../lib/worker.mjs";

const FOLDER = dirname(fileURLToPath(import.meta.url));
const HOST = "desk.example";
const KEY = "k3yoftenantone";
/** One data centre, so that each machine uses all workers. */
const ZONE = "zone-a";
const MODEL_WORKERS = 7;
const DESK_WORKERS = 3;
const EVENT_COUNT = 20;
const EVENT_MS = 100;
const REGISTER_MS = 600;
/** `srv_grey`: x of the requests of one worker in seven (share 0.15). */
const FAILED_SHARE = 0.4;
const FAILURES = [400, 404, 409, 422];
/** `srv_crash`: one worker in seven (share 0.17) is down for 4.5 s. */
const CRASH_FOR_MS = 4500;
const CRASH_EVERY_MS = 5500;
const CRASH_COUNT = 10;
const STREAM_EVERY_MS = 25;
const REGISTER_EVERY_MS = 400;
/** Fault: processes that end by themselves three times, on two machines. */
const ENDS = 3;
const MACHINES = 2;

let failedCount = 0;
const resumedFailures = [];

/** Requests that a worker failed or broke off. */
const troubled = new Set();

function stream({ request, response, head, requestId, worker }) {
  const last = Number(request.headers["last-event-id"] ?? 0);
  if (TROUBLE && worker.isGrey && Math.random() < FAILED_SHARE) {
    const status = FAILURES[failedCount++ % FAILURES.length];
    if (last > 0) resumedFailures.push(`${requestId} after ${last}: ${status}`);
    troubled.add(requestId);
    const body = "failed\n";
    return head(status, { "content-length": body.length }).end(body);
  }
  head(200, { "content-type": "text/event-stream" });
  let number = last;
  const timer = setInterval(() => {
    number += 1;
    if (number <= EVENT_COUNT) {
      response.write(`id: ${number}\ndata: piece ${number}\n\n`);
    }
    if (number < EVENT_COUNT) return;
    clearInterval(timer);
    response.end();
  }, EVENT_MS);
  response.on("close", () => {
    clearInterval(timer);
    if (worker.isSilent) troubled.add(requestId);
  });
}

function register({ head, requestId }) {
  setTimeout(() => {
    const body = `registered ${requestId}`;
    head(200, { "content-length": body.length }).end(body);
  }, REGISTER_MS);
}

await runCase(async () => {
  const models = [];
  const desks = [];
  for (let index = 0; index < MODEL_WORKERS; index++) {
    const id = `w-llm-${index}`;
    models.push(
      await new WorkerStandin({
        id,
        service: "llm",
        zone: ZONE,
        capacity: 64,
        onRun: stream,
      }).start(),
    );
  }
  const [grey, ...others] = models;
  grey.isGrey = true;
  for (let index = 0; index < DESK_WORKERS; index++) {
    const id = `w-desk-${index}`;
    desks.push(
      await new WorkerStandin({
        id,
        service: "desk",
        zone: ZONE,
        onRun: register,
      }).start(),
    );
  }
  const shared = { host: HOST, goalMs: 2000 };
  const { record, machines, end } = await startDeployment({
    folder: FOLDER,
    zones: [ZONE],
    workers: [...models, ...desks],
    manifest: manifestOf({
      routes: [
        {
          ...shared,
          name: "draft",
          pathPrefix: "/draft/",
          service: "llm",
          kind: "streaming",
          resumable: true,
          timeoutMs: 20_000,
          itlTargetMs: 1500,
          maxAttempts: 3,
        },
        {
          ...shared,
          name: "register",
          pathPrefix: "/register/",
          service: "desk",
          kind: "non_idempotent",
          timeoutMs: 3000,
          maxAttempts: 1,
        },
      ],
      services: ["llm", "desk"],
      tenants: [{ name: "one", apiKeys: [KEY] }],
    }),
  });
  const open = new Set();
  const outcomes = new Map();
  const lost = [];
  let unservedCount = 0;
  const agents = new Map(
    machines.map(({ name }) => [name, new Agent({ keepAlive: true })]),
  );
  const ranSoundly = (id) =>
    !troubled.has(id) &&
    [...models, ...desks].some(({ runs }) => runs.some((run) => run.id === id));
  const call = async (machine, id, path) => {
    const { frontend } = machine.addresses;
    const isStream = path.startsWith("/draft");
    const { status, isComplete, wasKept } = await send(frontend, {
      id,
      host: HOST,
      key: KEY,
      path,
      agent: agents.get(machine.name),
      deadlineMs: isStream ? 20_000 : 3000,
    });
    const outcome = `${path} ${machine.name}: ${status} ` +
      (isComplete ? "complete" : "broken off");
    outcomes.set(outcome, 1 + (outcomes.get(outcome) ?? 0));
    if (status === 0 && wasKept && ranSoundly(id)) lost.push(`${id} ${path}`);
    const isServed = status === 200 && isComplete;
    if (!isServed && ranSoundly(id)) unservedCount += 1;
  };
  const start = (promise) => {
    open.add(promise);
    void promise.finally(() => open.delete(promise));
  };
  let count = 0;
  const streams = setInterval(() => {
    for (const machine of machines) {
      start(call(machine, `s${++count}`, "/draft/one"));
    }
  }, STREAM_EVERY_MS);
  const registrations = setInterval(() => {
    for (const machine of machines) {
      start(call(machine, `r${++count}`, "/register/one"));
    }
  }, REGISTER_EVERY_MS);
  await delay(2000);
  for (let index = 0; index < CRASH_COUNT; index++) {
    const worker = others[index % others.length];
    if (TROUBLE) {
      record.write(`worker ${worker.id} crashes`);
      worker.crash();
    }
    await delay(CRASH_FOR_MS);
    if (TROUBLE) {
      await worker.restart();
      record.write(`worker ${worker.id} is back`);
    }
    await delay(CRASH_EVERY_MS - CRASH_FOR_MS);
  }
  clearInterval(streams);
  clearInterval(registrations);
  await Promise.all(open);
  for (const text of [...outcomes].sort()) record.write(text.join(", times "));
  for (const text of resumedFailures) {
    record.write(`${grey.id} failed the resumed ${text}`);
  }
  for (const { name, output } of machines) {
    const line = output.split("\n").find((one) =>
      one.includes("invariant broken")
    );
    if (line !== undefined) record.write(`${name} wrote ${line}`);
  }
  for (const text of lost) {
    record.write(
      `${text} came on a kept channel, ran at a sound worker, and ` +
        "its channel was closed without an answer",
    );
  }
  const counts = machines.map(({ ownEndCount }) => ownEndCount);
  record.write(`processes ended by themselves: ${counts.join(", ")} times`);
  record.write(
    `requests that sound workers ran and that were not served: ${unservedCount}`,
  );
  record.write(
    "of these, on kept channels that were closed without an answer: " +
      lost.length,
  );
  await end();
  return counts.filter((times) => times >= ENDS).length >= MACHINES;
});
