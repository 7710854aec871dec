import { build, type Histogram } from 'hdr-histogram-js'

export type Labels = Readonly<Record<string, string>>

const PERCENTILES = [50, 90, 95, 99]
const MAX_DURATION_MS = 3_600_000

/** One value of a metric. `value` is undefined while it is unknown. */
export interface LabelledValue {
  labels: Labels
  value: number | undefined
}

interface Series<T> {
  name: string
  labels: Labels
  value: T
}

/** Counters, gauges and histograms of one process. */
export class Metrics {
  readonly #counters = new Map<string, Series<number>>()
  readonly #histograms = new Map<string, Series<Histogram>>()
  readonly #gauges = new Map<string, () => readonly LabelledValue[]>()

  count (name: string, labels: Labels = {}, by = 1): void {
    const key = seriesKey(name, labels)
    const series = this.#counters.get(key) ?? { name, labels, value: 0 }
    series.value += by
    this.#counters.set(key, series)
  }

  /** Registers a gauge. Its value is read on each exposition. */
  gauge (name: string, read: () => number): void {
    this.gauges(name, () => [{ labels: {}, value: read() }])
  }

  /** Registers a gauge with several series. Their values are read on each exposition. */
  gauges (name: string, read: () => readonly LabelledValue[]): void {
    this.#gauges.set(name, read)
  }

  /** Records a duration in a histogram. */
  recordMs (name: string, valueMs: number, labels: Labels = {}): void {
    const key = seriesKey(name, labels)
    const series = this.#histograms.get(key) ?? { name, labels, value: build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_DURATION_MS, numberOfSignificantValueDigits: 3, useWebAssembly: false }) }
    series.value.recordValue(Math.min(MAX_DURATION_MS, Math.max(0, Math.round(valueMs))))
    this.#histograms.set(key, series)
  }

  /** Returns a percentile of a histogram over all its labels, or undefined if it has no values. */
  percentileMs (name: string, percentile: number): number | undefined {
    const parts = [...this.#histograms.values()].filter((series) => series.name === name)
    if (parts.length === 0) return undefined
    const sum = build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_DURATION_MS, numberOfSignificantValueDigits: 3, useWebAssembly: false })
    parts.forEach(({ value }) => sum.add(value))
    return sum.getValueAtPercentile(percentile)
  }

  /** Returns all metrics in the Prometheus text exposition format. */
  exposition (): string {
    const counters = groupByName([...this.#counters.values()]).flatMap(([name, series]) => [
      `# TYPE ${name} counter`,
      ...series.map(({ labels, value }) => `${name}${labelText(labels)} ${value}`),
    ])
    const gauges = [...this.#gauges].flatMap(([name, read]) => [
      `# TYPE ${name} gauge`,
      ...read().filter(({ value }) => value !== undefined).map(({ labels, value }) => `${name}${labelText(labels)} ${value}`),
    ])
    const histograms = groupByName([...this.#histograms.values()]).flatMap(([name, series]) => [
      `# TYPE ${name} summary`,
      ...series.flatMap(({ labels, value }) => [
        ...PERCENTILES.map((percent) => `${name}${labelText({ ...labels, quantile: String(percent / 100) })} ${value.getValueAtPercentile(percent)}`),
        `${name}_count${labelText(labels)} ${value.totalCount}`,
      ]),
    ])
    return [...counters, ...gauges, ...histograms, ''].join('\n')
  }
}

function groupByName<T> (series: readonly Series<T>[]): [string, Series<T>[]][] {
  const names = [...new Set(series.map(({ name }) => name))]
  return names.map((name) => [name, series.filter((one) => one.name === name)])
}

function seriesKey (name: string, labels: Labels): string {
  return name + labelText(labels)
}

function labelText (labels: Labels): string {
  const pairs = Object.entries(labels).map(([key, value]) => `${key}="${value.replaceAll(/["\\\n]/g, '_')}"`)
  return pairs.length > 0 ? `{${pairs.join(',')}}` : ''
}
