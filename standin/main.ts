/**
 * Runs one stand-in as a process. The only argument is its settings as JSON,
 * `{"kind": "engine", "options": {...}, "port": 0}`; the first line of output
 * is `{"address", "controlAddress"}`. At the control address, `POST /control`
 * sets switches and `GET /seen` returns the recorded traffic.
 */
import process from "node:process";
import { z } from "zod";
import { createEngine } from "./engine.ts";
import { type EngineOptions } from "./engine_options.ts";
import {
  type Call,
  HttpHost,
  sendError,
  sendJson,
  type Standin,
} from "./http_host.ts";
import { createLog, type LogOptions } from "./log.ts";
import {
  createPlainService,
  type PlainServiceOptions,
} from "./plain_service.ts";
import { createRating, type RatingOptions } from "./rating.ts";
import { createVmList, type VmListOptions } from "./vm_list.ts";
import { createWeightStore, type WeightStoreOptions } from "./weight_store.ts";

const INVALID_SETTINGS_EXIT_CODE = 78;

const settingsSchema = z.strictObject({
  kind: z.enum(["log", "vm_list", "engine", "service", "weights", "rating"]),
  options: z.record(z.string(), z.unknown()),
  port: z.number().int().min(0).max(65_535).default(0),
});

type StandinSettings = z.infer<typeof settingsSchema>;

interface ControllableStandin extends Standin {
  readonly switches: object;
  readonly recorded: unknown;
}

function create(settings: StandinSettings): ControllableStandin {
  const options: unknown = settings.options;
  switch (settings.kind) {
    case "log":
      return createLog(options as LogOptions);
    case "vm_list":
      return createVmList(options as VmListOptions);
    case "engine":
      return createEngine(options as EngineOptions);
    case "service":
      return createPlainService(options as PlainServiceOptions);
    case "weights":
      return createWeightStore(options as WeightStoreOptions);
    case "rating":
      return createRating(options as RatingOptions);
  }
}

function serveControl(standin: ControllableStandin, call: Call): void {
  if (call.url.pathname === "/seen") {
    return sendJson(call.response, 200, standin.recorded);
  }
  if (call.method !== "POST" || call.url.pathname !== "/control") {
    return sendError(call.response, 404, "no such path");
  }
  Object.assign(standin.switches, JSON.parse(call.body));
  sendJson(call.response, 200, standin.switches);
}

async function main(): Promise<void> {
  const settings = settingsSchema.safeParse(
    JSON.parse(process.argv[2] ?? "{}"),
  );
  if (!settings.success) {
    console.error(z.prettifyError(settings.error));
    process.exit(INVALID_SETTINGS_EXIT_CODE);
  }
  const standin = create(settings.data);
  const address = await standin.listen({ port: settings.data.port });
  const host = new HttpHost((call) => serveControl(standin, call));
  const controlAddress = await host.listen();
  console.log(JSON.stringify({ address, controlAddress }));
}

await main();
