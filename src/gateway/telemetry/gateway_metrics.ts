/**
 * Counters and latency histograms of one VM, exported as text. The manifest and
 * the roster limit the names and labels; beyond fixed maxima, further series
 * are dropped and only the dropped values are counted.
 */
import { type build, type Histogram } from "hdr-histogram-js";

const MAX_SERIES = 2000;
const MAX_HISTOGRAMS = 200;
const MAX_DURATION_MS = 120_000;
const QUANTILES = [50, 95, 99] as const;
/** Durations buffered until the histogram library is loaded. */
const MAX_PENDING_DURATIONS = 2000;

/** Labels of a series. */
export type MetricLabels = Readonly<Record<string, string | number>>;

/** The metrics of one VM. */
export class GatewayMetrics {
  readonly #counters = new Map<string, number>();
  readonly #histograms = new Map<string, Histogram>();
  readonly #pendingDurations: {
    readonly series: string;
    readonly durationMs: number;
  }[] = [];
  #build: typeof build | undefined;
  #droppedCount = 0;

  /**
   * Loads the histogram library and records the buffered durations. Called some
   * time after the start, as loading delays requests.
   */
  async load(): Promise<void> {
    this.#build = (await import("hdr-histogram-js")).build;
    for (const { series, durationMs } of this.#pendingDurations.splice(0)) {
      this.#record(series, durationMs);
    }
  }

  /** Adds one to a counter. */
  count(name: string, labels: MetricLabels): void {
    const series = seriesOf(name, labels);
    const before = this.#counters.get(series);
    if (before === undefined && this.#counters.size >= MAX_SERIES) {
      this.#droppedCount += 1;
      return;
    }
    this.#counters.set(series, (before ?? 0) + 1);
  }

  /** Sets a gauge. */
  set(name: string, value: number): void {
    this.#counters.set(name, value);
  }

  /** Records a duration. */
  time(
    name: string,
    { durationMs, ...labels }: MetricLabels & { readonly durationMs: number },
  ): void {
    this.#record(seriesOf(name, labels), durationMs);
  }

  /** Returns all metrics as text, one per line. */
  text(): string {
    const lines: string[] = [];
    for (const [series, value] of this.#counters) {
      lines.push(`${series} ${value}`);
    }
    for (const [series, histogram] of this.#histograms) {
      lines.push(`${series}_count ${histogram.totalCount}`);
      for (const quantile of QUANTILES) {
        const value = histogram.getValueAtPercentile(quantile);
        lines.push(`${series}_p${quantile} ${value}`);
      }
    }
    lines.push(`metrics_left_out ${this.#droppedCount}`);
    return `${lines.join("\n")}\n`;
  }

  #record(series: string, durationMs: number): void {
    const histogram = this.#histogramOf(series, durationMs);
    const bounded = Math.min(
      MAX_DURATION_MS,
      Math.max(0, Math.round(durationMs)),
    );
    histogram?.recordValue(bounded);
  }

  #histogramOf(series: string, durationMs: number): Histogram | undefined {
    const existing = this.#histograms.get(series);
    if (existing !== undefined) return existing;
    if (
      this.#build === undefined &&
      this.#pendingDurations.length < MAX_PENDING_DURATIONS
    ) {
      this.#pendingDurations.push({ series, durationMs });
      return undefined;
    }
    if (this.#build === undefined || this.#histograms.size >= MAX_HISTOGRAMS) {
      this.#droppedCount += 1;
      return undefined;
    }
    const histogram = this.#build({
      highestTrackableValue: MAX_DURATION_MS,
      numberOfSignificantValueDigits: 2,
      bitBucketSize: 32,
    });
    this.#histograms.set(series, histogram);
    return histogram;
  }
}

function seriesOf(name: string, labels: MetricLabels): string {
  const parts = Object.entries(labels).map(([key, value]) =>
    `${key}="${value}"`
  );
  return parts.length === 0 ? name : `${name}{${parts.join(",")}}`;
}
