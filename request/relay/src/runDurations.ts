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

/** Durations of recent runs by kind. */
export class RunDurations {
  readonly #durationsMs = new Map<string, number[]>()

  record (kind: string, durationMs: number): void {
    const known = this.#durationsMs.get(kind) ?? []
    this.#durationsMs.delete(kind)
    this.#durationsMs.set(kind, [...known, durationMs].slice(-MAX_RUNS_PER_KIND))
    if (this.#durationsMs.size > MAX_KINDS) this.#durationsMs.delete(this.#durationsMs.keys().next().value as string)
  }

  /** Median of the recent runs that took longer than a duration; undefined if hardly any did. */
  medianAboveMs (kind: string, durationMs: number): number | undefined {
    const longer = (this.#durationsMs.get(kind) ?? []).filter((known) => known > durationMs).sort((a, b) => a - b)
    return longer.length < MIN_LONG_RUNS ? undefined : longer[Math.floor(longer.length / 2)]
  }

  /** Expected maximum duration of a run that begins now, or undefined if too few runs have ended. */
  expectedMaxMs (kind: string): number | undefined {
    const known = this.#durationsMs.get(kind) ?? []
    return known.length < MIN_RUNS ? undefined : SAFETY_FACTOR * Math.max(...known)
  }
}
