/** A logger of JSON lines, cheap enough for a line per request. */
import { type LogFields, type Logger } from "../../model/mod.ts";
import { type LineSink } from "./log_sink.ts";

type Level = "INFO" | "WARN" | "ERROR";

/** Creates a logger that adds the fields of its source to each line. */
export function jsonLogger(source: LogFields, sink: LineSink): Logger {
  const log = (level: Level, event: string, fields?: LogFields): void => {
    const time = new Date().toISOString();
    sink(JSON.stringify({ time, level, ...source, event, ...fields }));
  };
  return {
    info: (event, fields) => log("INFO", event, fields),
    warn: (event, fields) => log("WARN", event, fields),
    error: (event, fields) => log("ERROR", event, fields),
  };
}
