/** Weight of one answer: the mean of an engine covers about 10 answers, which end there within some seconds. */
const EWMA_WEIGHT = 0.1

/** Estimates the time between tokens from the medians that owners report, by decode engine. */
export class TokenPaceEstimator {
  readonly #byEngine = new Map<string, number>()
  #overallMs?: number

  observe (engine: string, tbtP50Ms: number): void {
    if (tbtP50Ms <= 0) return
    this.#byEngine.set(engine, mix(this.#byEngine.get(engine), tbtP50Ms))
    this.#overallMs = mix(this.#overallMs, tbtP50Ms)
  }

  /** Time between tokens on an engine; the mean of all engines if none of its answers has ended, and undefined before the first. */
  tbtMs (engine?: string): number | undefined {
    return (engine === undefined ? undefined : this.#byEngine.get(engine)) ?? this.#overallMs
  }

  retain (listed: ReadonlySet<string>): void {
    [...this.#byEngine.keys()].filter((engine) => !listed.has(engine)).forEach((engine) => this.#byEngine.delete(engine))
  }
}

function mix (before: number | undefined, sample: number): number {
  return before === undefined ? sample : before + EWMA_WEIGHT * (sample - before)
}
