/** Latest runs that are kept per kind: some minutes under light load, some seconds under heavy load. */
const MAX_RUNS_PER_KIND = 64
/** Kinds that are kept, by latest run: more than a deployment has routes, and a bound where routes change. */
const MAX_KINDS = 4000
/** Minimum sample for an estimate: with 8 runs, one in nine later runs takes longer than the longest of them. */
const MIN_RUNS = 8
/** Factor on the longest kept run, since engines slow down while others are lost. */
const SAFETY_FACTOR = 1.25

/** Fewer runs above a duration are taken for stalls. */
const MIN_LONG_RUNS = 2

interface KnownRun {
  durationMs: number
  /** Maximum number of tokens of the answer; 0 if the request declares none. */
  maxTokens: number
}

/** Durations of recent runs by kind. */
export class RunDurations {
  readonly #runs = new Map<string, KnownRun[]>()

  record (kind: string, durationMs: number, maxTokens = 0): void {
    const known = this.#runs.get(kind) ?? []
    this.#runs.delete(kind)
    this.#runs.set(kind, [...known, { durationMs, maxTokens }].slice(-MAX_RUNS_PER_KIND))
    if (this.#runs.size > MAX_KINDS) this.#runs.delete(this.#runs.keys().next().value as string)
  }

  /** Median of the recent runs that took longer than a duration; undefined if hardly any did. */
  medianAboveMs (kind: string, durationMs: number): number | undefined {
    const longer = (this.#runs.get(kind) ?? []).map((known) => known.durationMs).filter((knownMs) => knownMs > durationMs).sort((a, b) => a - b)
    return longer.length < MIN_LONG_RUNS ? undefined : longer[Math.floor(longer.length / 2)]
  }

  /**
   * Expected maximum duration of a run that begins now, or undefined if too few runs have ended. An answer that may
   * have more tokens than the answers of known runs is expected to take longer in proportion.
   */
  expectedMaxMs (kind: string, maxTokens = 0): number | undefined {
    const known = this.#runs.get(kind) ?? []
    if (known.length < MIN_RUNS) return undefined
    return SAFETY_FACTOR * Math.max(...known.map((run) => run.durationMs * Math.max(1, run.maxTokens > 0 ? maxTokens / run.maxTokens : 1)))
  }
}
