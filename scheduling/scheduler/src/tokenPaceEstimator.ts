/** The median covers this many answers, which end at an engine within some seconds. Single answers that stalled, or that come in larger parts than others, do not change it. */
const SAMPLES = 15

/** Estimates the time between tokens from the medians of answers, by decode engine. */
export class TokenPaceEstimator {
  readonly #byEngine = new Map<string, RecentMedian>()
  readonly #overall = new RecentMedian()

  observe (engine: string, tokenMs: number): void {
    if (tokenMs <= 0) return
    const ofEngine = this.#byEngine.get(engine) ?? new RecentMedian()
    this.#byEngine.set(engine, ofEngine)
    ofEngine.observe(tokenMs)
    this.#overall.observe(tokenMs)
  }

  /** Time between tokens on an engine; that of all engines if none of its answers has ended, and undefined before the first. */
  tbtMs (engine?: string): number | undefined {
    return (engine === undefined ? undefined : this.engineTokenMs(engine)) ?? this.#overall.value
  }

  /** Time between tokens on an engine; undefined if none of its answers has ended. */
  engineTokenMs (engine: string): number | undefined {
    return this.#byEngine.get(engine)?.value
  }

  retain (listed: ReadonlySet<string>): void {
    [...this.#byEngine.keys()].filter((engine) => !listed.has(engine)).forEach((engine) => this.#byEngine.delete(engine))
  }
}

class RecentMedian {
  #samples: number[] = []
  #value?: number

  get value (): number | undefined {
    return this.#value
  }

  observe (sample: number): void {
    this.#samples = [...this.#samples, sample].slice(-SAMPLES)
    this.#value = [...this.#samples].sort((a, b) => a - b)[Math.floor(this.#samples.length / 2)]
  }
}
