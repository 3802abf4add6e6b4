/** Mechanisms that bound what clients outside the limits take. */
import { type Mechanism } from "./mechanism.ts";

const BODY_TEST = "src/gateway/callers/body_reader_test.ts";
const SERVER_TEST = "src/wire/bounded_server_test.ts";

export const CLIENT_MECHANISMS: readonly Mechanism[] = [
  {
    name: "parts of a body in few buffers",
    file: "src/model/byte_collector.ts",
    source: "rest.length >= KEPT_PART_BYTES",
    replacement: "rest.length > 0",
    tests: ["platform/crowd/crowd_alone_test.ts"],
  },
  {
    name: "the last body gives way",
    file: "src/gateway/callers/body_reader.ts",
    source: " ?? this.#lastArriving()",
    replacement: "",
    tests: [BODY_TEST],
  },
  {
    name: "a slow body gives way",
    file: "src/gateway/callers/body_reader.ts",
    source: "first !== undefined && this.#isLong(first)",
    replacement: "first === undefined",
    tests: [BODY_TEST],
  },
  {
    name: "bound of connections",
    file: "src/wire/bounded_server.ts",
    source: "const [longestIdle = socket] = this.#idle;",
    replacement: "const longestIdle = socket;",
    tests: [SERVER_TEST],
  },
  {
    name: "places are not held by bodies without end",
    file: "src/wire/bounded_server.ts",
    source: "? this.#longestArriving() ?? socket",
    replacement: "? socket",
    tests: [SERVER_TEST],
  },
  {
    name: "bound of requests ahead",
    file: "src/wire/bounded_server.ts",
    source: "if (openCount > maxOpenRequestCount) {",
    replacement: "if (openCount > 1000 * maxOpenRequestCount) {",
    tests: [SERVER_TEST],
  },
];
