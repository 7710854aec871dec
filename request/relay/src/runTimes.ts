/** Runs of a target that are remembered: some minutes of a calm day, some seconds of a busy one. */
const RUNS_KEPT = 64
/** A run may last this many times as long as the longest that is remembered: engines slow down while others are lost. */
const MARGIN = 1.25

/** How long runs at a model or a pool have lasted of late. */
export class RunTimes {
  readonly #durationsMs = new Map<string, number[]>()

  note (target: string, durationMs: number): void {
    const known = this.#durationsMs.get(target) ?? []
    this.#durationsMs.set(target, [...known, durationMs].slice(-RUNS_KEPT))
  }

  /** What a run that begins now may well take. Undefined while none has ended. */
  likelyLongestMs (target: string): number | undefined {
    const known = this.#durationsMs.get(target)
    return known && MARGIN * Math.max(...known)
  }
}
