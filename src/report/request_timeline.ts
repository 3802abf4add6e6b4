/**
 * Builds the timeline of one request from the log lines of several processes:
 * its decisions in the order of time and the cause of its end. The cause states
 * whether the last lines of a killed process are missing, and which line shows
 * that. Lines are added one by one; memory is bounded by the number of VMs and
 * of their starts and stops, not by the size of the logs.
 */
import { type LogCoverage, ProcessLives } from "./process_lives.ts";

/** A log line about the request. */
export interface TimelineEntry {
  readonly atMs: number;
  readonly vm: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Log lines of a request in the order of time, and the cause of its end. */
export interface RequestTimeline {
  readonly lines: readonly TimelineEntry[];
  readonly cause: string;
}

/** Fields that every log line has; the details omit them. */
const COMMON_FIELDS = ["time", "level", "vm", "place", "event", "request"];

/** Cause of the end of a request, by the outcome in its last line. */
const CAUSES: ReadonlyMap<string, string> = new Map([
  ["answered", "a backend server answered it"],
  ["caller_gone", "the caller disconnected before the end of the answer"],
  ["timeout", "the timeout of the route or the deadline of the caller expired"],
  ["vm_refused", "no backend server in reach, and other VMs refused it"],
  [
    "vm_failed",
    "another VM, through which it went, failed to have it answered",
  ],
  ["vm_stopped", "the grace period of the VM ended before the answer"],
  ["no_backend", "no backend server of an allowed version was available"],
  [
    "no_server_in_region",
    "no backend server was in reach in the regions that its route and " +
    "workspace allow",
  ],
  ["backend_error", "backend servers answered with failures of their own"],
  [
    "not_run",
    "every backend server that was tried refused for lack of capacity",
  ],
  [
    "unmarked_refusal",
    "a backend server answered with a status that promises that it has not " +
    "run, without saying so",
  ],
  ["no_stream", "no backend server continued the stream that had begun"],
  ["internal_error", "an exception in its handling, logged with its id"],
  ["unreachable", "no connection to a backend server could be established"],
  ["reset", "the backend server broke its answer off"],
  ["malformed", "the backend server sent a malformed answer"],
  [
    "foreign_answer",
    "the backend server sent the answer to a different request",
  ],
  ["unsigned_answer", "the backend server's answer lacked a valid signature"],
  ["silent", "the backend server stopped sending data"],
  ["server_limit", "the backend servers' request limits were used up"],
  [
    "server_cold",
    "the backend servers had just started, and their share was used up",
  ],
  [
    "overloaded",
    "all slots of its service were taken, and it would have been late",
  ],
  ["server_paused", "the backend servers wanted a pause"],
  [
    "evacuated",
    "operators have evacuated the data centres of its backend servers",
  ],
  [
    "server_memory",
    "the backend servers' memory was promised to other requests",
  ],
  ["server_leaving", "the only backend servers were leaving"],
  [
    "prompt_quarantined",
    "a part of the prompt is in quarantine, as servers ended under it",
  ],
  ["incomplete", "the backend server ended the stream inside an event"],
  ["out_of_order", "the backend server's stream lacked an event"],
  ["oversize", "the backend server sent an event without end"],
  ["oversize_answer", "the backend server sent an answer without end"],
  ["no_answer", "the backend server closed the connection unanswered"],
]);

/** Builds the timeline of a request from log lines in any order. */
export function readTimeline(
  requestId: string,
  lines: Iterable<string>,
): RequestTimeline {
  const reader = new TimelineReader(requestId);
  for (const line of lines) reader.add(line);
  return reader.timeline();
}

/** Reads log lines one by one and keeps what concerns one request. */
export class TimelineReader {
  readonly #requestId: string;
  readonly #entries: TimelineEntry[] = [];
  readonly #lives = new ProcessLives();

  constructor(requestId: string) {
    this.#requestId = requestId;
  }

  /** Adds a line; one that is not a log line is ignored. */
  add(line: string): void {
    this.#lives.add(line);
    if (!line.includes(this.#requestId)) return;
    const entry = parseLine(line);
    if (entry?.fields["request"] !== this.#requestId) return;
    this.#entries.push(entry);
  }

  /** The timeline of the lines added so far. */
  timeline(): RequestTimeline {
    const lines = [...this.#entries].sort((a, b) => a.atMs - b.atMs);
    return { lines, cause: causeOf(lines, this.#lives) };
  }
}

/** Formats a timeline as text, one line per entry and the cause last. */
export function formatTimeline(
  requestId: string,
  timeline: RequestTimeline,
): string {
  const startMs = timeline.lines[0]?.atMs ?? 0;
  const rows = timeline.lines.map(({ atMs, vm, event, fields }) => {
    const details = Object.entries(fields)
      .filter(([name]) => !COMMON_FIELDS.includes(name))
      .map(([name, value]) => `${name}=${String(value)}`);
    return `${String(atMs - startMs).padStart(7)} ms  ${vm}  ${event}  ` +
      details.join(" ");
  });
  return [`request ${requestId}`, ...rows, `cause: ${timeline.cause}`].join(
    "\n",
  );
}

function causeOf(
  lines: readonly TimelineEntry[],
  lives: ProcessLives,
): string {
  const last = lines.at(-1);
  if (last === undefined) {
    return `no line mentions this request; ${coverageText(lives.coverage())}`;
  }
  if (last.event === "request refused") {
    return `refused on arrival: ${String(last.fields["reason"])}, status ` +
      String(last.fields["status"]);
  }
  if (last.event !== "request ended") {
    return `${last.vm} wrote nothing more of it: ` + endText(last, lives);
  }
  const outcome = String(last.fields["outcome"]);
  const attempts = String(last.fields["trail"] ?? "");
  const cause = CAUSES.get(outcome) ?? outcome;
  const text = attempts === "" ? cause : `${cause} (${attempts})`;
  const { isLate, firstByteMs, longestPauseMs } = last.fields;
  if (isLate !== true) return text;
  return `${text}; late: it began after ${String(firstByteMs)} ms, its ` +
    `longest pause was ${String(longestPauseMs)} ms`;
}

function endText({ vm, atMs }: TimelineEntry, lives: ProcessLives): string {
  const next = lives.changeAfter(vm, atMs);
  if (next === undefined) return "its process ended or froze";
  const afterMs = next.atMs - atMs;
  return next.event === "stopped"
    ? `its process stopped ${afterMs} ms later (line "stopped")`
    : `its process ended; the next one began ${afterMs} ms later ` +
      '(line "started")';
}

function coverageText(coverage: readonly LogCoverage[]): string {
  if (coverage.length === 0) return "the logs have no line of any VM";
  const rows = coverage.map(({ vm, firstAtMs, lastAtMs }) =>
    `${vm} from ${timeOf(firstAtMs)} to ${timeOf(lastAtMs)}`
  );
  return `the logs have lines of ${rows.join(", ")}`;
}

function timeOf(atMs: number): string {
  return new Date(atMs).toISOString();
}

/** Parses a log line; a log collector may have put a prefix before the JSON. */
function parseLine(line: string): TimelineEntry | undefined {
  const start = line.indexOf("{");
  if (start < 0) return undefined;
  try {
    const fields = JSON.parse(line.slice(start)) as Record<string, unknown>;
    return {
      atMs: Date.parse(String(fields["time"])),
      vm: String(fields["vm"]),
      event: String(fields["event"]),
      fields,
    };
  } catch {
    // The process ended while it wrote this line.
    return undefined;
  }
}
