/**
 * Logs and metrics of a process. Logs are JSON lines on standard output, each
 * with its program, VM and place. Metrics are sent to a StatsD daemon over UDP;
 * a missing daemon causes no error.
 */
import { StatsD } from "hot-shots";
import { Logger as TsLogger } from "tslog";
import { type LogFields, type Logger, type Metrics } from "../model/mod.ts";

/** Fields of each log line that identify its process. */
export interface LogSource {
  readonly program: string;
  readonly vm: string;
  readonly place: string;
}

/** Address of the StatsD daemon and the tags of all metrics. */
export interface MetricsTarget {
  readonly host: string;
  readonly port: number;
  readonly tags: LogFields;
}

/** Writes one line of text, for example to standard output. */
export type LineSink = (line: string) => void;

/** Creates a logger that writes JSON lines to `sink`. */
export function createLogger(source: LogSource, sink: LineSink): Logger {
  const inner = new TsLogger<Record<string, unknown>>({
    type: "hidden",
    hideLogPositionForProduction: true,
  });
  inner.attachTransport((line) => {
    const meta = line["_meta"] as { date: Date; logLevelName: string };
    const { event, fields } = line as unknown as LogLine;
    sink(JSON.stringify({
      time: meta.date.toISOString(),
      level: meta.logLevelName,
      ...source,
      event,
      ...fields,
    }));
  });
  return {
    info: (event, fields) => void inner.info({ event, fields }),
    warn: (event, fields) => void inner.warn({ event, fields }),
    error: (event, fields) => void inner.error({ event, fields }),
  };
}

interface LogLine {
  readonly event: string;
  readonly fields: LogFields | undefined;
}

/** Creates metrics over UDP; socket errors are ignored. */
export function createMetrics(target: MetricsTarget): Metrics {
  const client = new StatsD({
    host: target.host,
    port: target.port,
    prefix: "goldcrestpost.",
    globalTags: tagsOf(target.tags),
    errorHandler: () => {},
  });
  return {
    count: (name, amount = 1, tags = {}) =>
      client.increment(name, amount, tagsOf(tags)),
    gauge: (name, value, tags = {}) => client.gauge(name, value, tagsOf(tags)),
    timing: (name, durationMs, tags = {}) =>
      client.timing(name, durationMs, tagsOf(tags)),
  };
}

function tagsOf(fields: LogFields): Record<string, string> {
  const tags: Record<string, string> = {};
  for (const [name, value] of Object.entries(fields)) {
    if (value !== undefined) tags[name] = String(value);
  }
  return tags;
}
