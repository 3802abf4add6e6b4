/**
 * The story of one request, put together from the log lines of several
 * processes: what was decided when and why, and the cause of its end. Lines of
 * a process that was killed in between may be missing; the story then says so.
 */

/** A log line that names the request. */
export interface TimelineEntry {
  readonly atMs: number;
  readonly vm: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** What became of a request. */
export interface RequestTimeline {
  readonly lines: readonly TimelineEntry[];
  readonly cause: string;
}

/** Fields that every line has. */
const COMMON_FIELDS = ["time", "level", "vm", "place", "event", "request"];

/** Why a request ended, by the outcome that its last line names. */
const CAUSES: ReadonlyMap<string, string> = new Map([
  ["answered", "a backend server answered it"],
  ["caller_gone", "the caller left before the end of its answer"],
  ["timeout", "the route's or the caller's time was over"],
  ["no_backend", "no backend server of an allowed version was there"],
  ["backend_error", "backend servers answered with failures of their own"],
  ["not_run", "every backend server asked said that it had no room"],
  ["unreachable", "no connection to a backend server came about"],
  ["reset", "the backend server broke its answer off"],
  ["malformed", "the backend server sent what is no answer"],
  ["foreign_answer", "the backend server sent the answer to another request"],
  ["unsigned_answer", "the backend server's answer was not its own"],
  ["silent", "the backend server stayed silent"],
]);

/** Reads the lines about one request, in the order of time. */
export function readTimeline(
  requestId: string,
  lines: Iterable<string>,
): RequestTimeline {
  const found: TimelineEntry[] = [];
  for (const line of lines) {
    if (!line.includes(requestId)) continue;
    const read = readLine(line);
    if (read?.fields["request"] === requestId) found.push(read);
  }
  found.sort((a, b) => a.atMs - b.atMs);
  return { lines: found, cause: causeOf(found) };
}

/** The story as text, one decision a line. */
export function formatTimeline(
  requestId: string,
  story: RequestTimeline,
): string {
  const startMs = story.lines[0]?.atMs ?? 0;
  const rows = story.lines.map(({ atMs, vm, event, fields }) => {
    const details = Object.entries(fields)
      .filter(([name]) => !COMMON_FIELDS.includes(name))
      .map(([name, value]) => `${name}=${String(value)}`);
    return `${String(atMs - startMs).padStart(7)} ms  ${vm}  ${event}  ` +
      details.join(" ");
  });
  return [`request ${requestId}`, ...rows, `cause: ${story.cause}`].join("\n");
}

function causeOf(lines: readonly TimelineEntry[]): string {
  const last = lines.at(-1);
  if (last === undefined) return "no line names this request";
  if (last.event === "request refused") {
    return `refused at once: ${String(last.fields["reason"])}, status ` +
      String(last.fields["status"]);
  }
  if (last.event !== "request ended") {
    return `${last.vm} wrote nothing more of it: its process ended or froze`;
  }
  const outcome = String(last.fields["outcome"]);
  const trail = String(last.fields["trail"] ?? "");
  const cause = CAUSES.get(outcome) ?? outcome;
  const told = trail === "" ? cause : `${cause} (${trail})`;
  const { isLate, firstByteMs, longestPauseMs } = last.fields;
  if (isLate !== true) return told;
  return `${told}; late: it began after ${String(firstByteMs)} ms, its ` +
    `longest pause was ${String(longestPauseMs)} ms`;
}

/** A line may have words of a collector before its JSON. */
function readLine(line: string): TimelineEntry | undefined {
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
    // A line cut short by the end of its process names nothing.
    return undefined;
  }
}
