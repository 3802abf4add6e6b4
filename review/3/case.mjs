/**
 * Requests with a body, sent with a length or in chunks. The methods POST, PUT
 * and PATCH have one in any case; with the disruption DELETE, GET and OPTIONS
 * have one as well. The worker has to run what the client sent.
 */
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
const METHODS = ["POST", "PUT", "PATCH", "DELETE", "GET", "OPTIONS"];
const ALWAYS_WITH_BODY = METHODS.slice(0, 3);

await runCase(async () => {
  const arrived = [];
  const workers = [];
  for (const zone of ["zone-a", "zone-b", "zone-c"]) {
    workers.push(
      await new WorkerStandin({
        id: `w-${zone}`,
        service: "desk",
        zone,
        onRun: ({ head, requestId }) =>
          setTimeout(() => {
            const body = `done ${requestId}`;
            head(200, { "content-length": body.length }).end(body);
          }, 20),
        onBytes: (bytes) => arrived.push(bytes.toString("latin1")),
      }).start(),
    );
  }
  const { record, machines, end } = await startDeployment({
    folder: FOLDER,
    workers,
    manifest: manifestOf({
      routes: [{
        name: "records",
        host: HOST,
        pathPrefix: "/records/",
        service: "desk",
        kind: "non_idempotent",
        timeoutMs: 3000,
        goalMs: 500,
        maxAttempts: 1,
      }],
      services: ["desk"],
      tenants: [{ name: "one", apiKeys: [KEY] }],
    }),
  });
  const sent = new Map();
  let count = 0;
  for (const machine of machines) {
    for (const method of METHODS) {
      for (const framing of ["length", "chunks"]) {
        const id = `q${++count}`;
        const hasBody = TROUBLE || ALWAYS_WITH_BODY.includes(method);
        const body = hasBody
          ? `{"records":[${count}],"reason":"withdrawn"}`
          : "";
        const framed = framing === "length"
          ? { "content-length": body.length }
          : { "transfer-encoding": "chunked" };
        sent.set(id, { method, body });
        record.write(
          `client sends ${id}: ${method} with "${body}" (${framing})`,
        );
        const answer = await send(machine.addresses.frontend, {
          id,
          host: HOST,
          key: KEY,
          path: "/records/set",
          method,
          body: hasBody ? Buffer.from(body) : undefined,
          headers: {
            "content-type": "application/json",
            ...hasBody ? framed : {},
          },
        });
        record.write(`client got ${id}: ${answer.status} "${answer.body}"`);
      }
    }
  }
  await delay(300);
  let changedCount = 0;
  for (const worker of workers) {
    for (const { id, method, body } of worker.runs) {
      const isChanged = sent.get(id)?.method !== method ||
        sent.get(id)?.body !== body;
      if (isChanged) changedCount += 1;
      record.write(
        `${worker.id} ran ${id}: ${method} with "${body}"` +
          (isChanged ? ", which is not the client's request" : ""),
      );
    }
  }
  const removed = arrived.findIndex((text) => text.startsWith("DELETE"));
  const bytes = arrived.slice(removed, removed + 2).join("")
    .replace(/(.)DELETE.*/s, "$1");
  record.write(`the first DELETE came as ${JSON.stringify(bytes)}`);
  record.write(
    `requests run with another body than the client's: ${changedCount}`,
  );
  await end();
  return changedCount > 0;
});
