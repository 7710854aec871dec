import { build, type Histogram } from 'hdr-histogram-js'

export type Labels = Readonly<Record<string, string>>

const QUANTILES = [50, 90, 95, 99]
const HIGHEST_MS = 3_600_000

/** One value of a metric; without a value, it is not known at the moment. */
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

  /** Registers a value that is read when the metrics are. */
  gauge (name: string, read: () => number): void {
    this.gauges(name, () => [{ labels: {}, value: read() }])
  }

  /** Registers values that are read when the metrics are. */
  gauges (name: string, read: () => readonly LabelledValue[]): void {
    this.#gauges.set(name, read)
  }

  /** Records a duration in a histogram. */
  recordMs (name: string, valueMs: number, labels: Labels = {}): void {
    const key = seriesKey(name, labels)
    const series = this.#histograms.get(key) ?? { name, labels, value: build({ lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_MS, numberOfSignificantValueDigits: 3, useWebAssembly: false }) }
    series.value.recordValue(Math.min(HIGHEST_MS, Math.max(0, Math.round(valueMs))))
    this.#histograms.set(key, series)
  }

  /** A quantile of a histogram over all its labels, or nothing when it is empty. */
  quantileMs (name: string, percentile: number): number | undefined {
    const parts = [...this.#histograms.values()].filter((series) => series.name === name)
    if (parts.length === 0) return undefined
    const sum = build({ lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_MS, numberOfSignificantValueDigits: 3, useWebAssembly: false })
    parts.forEach(({ value }) => sum.add(value))
    return sum.getValueAtPercentile(percentile)
  }

  /** The usual text exposition format. */
  exposition (): string {
    const counters = grouped([...this.#counters.values()]).flatMap(([name, series]) => [
      `# TYPE ${name} counter`,
      ...series.map(({ labels, value }) => `${name}${labelText(labels)} ${value}`),
    ])
    const gauges = [...this.#gauges].flatMap(([name, read]) => [
      `# TYPE ${name} gauge`,
      ...read().filter(({ value }) => value !== undefined).map(({ labels, value }) => `${name}${labelText(labels)} ${value}`),
    ])
    const histograms = grouped([...this.#histograms.values()]).flatMap(([name, series]) => [
      `# TYPE ${name} summary`,
      ...series.flatMap(({ labels, value }) => [
        ...QUANTILES.map((percent) => `${name}${labelText({ ...labels, quantile: String(percent / 100) })} ${value.getValueAtPercentile(percent)}`),
        `${name}_count${labelText(labels)} ${value.totalCount}`,
      ]),
    ])
    return [...counters, ...gauges, ...histograms, ''].join('\n')
  }
}

function grouped<T> (series: readonly Series<T>[]): [string, Series<T>[]][] {
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
