/** Runs of a kind that are remembered: some minutes of a calm day, some seconds of a busy one. */
const RUNS_KEPT = 64
/** Kinds that are remembered, those that ran last: more than a deployment has routes, and bounded where routes come and go. */
const KINDS_KEPT = 4000
/** Fewer runs do not tell how long the next one may last: among this many, the longest is passed by one in nine that follow. */
const FEWEST_RUNS = 8
/** A run may last this many times as long as the longest that is remembered: engines slow down while others are lost. */
const MARGIN = 1.25

/** How long runs of a kind have lasted of late. */
export class RunTimes {
  readonly #durationsMs = new Map<string, number[]>()

  note (kind: string, durationMs: number): void {
    const known = this.#durationsMs.get(kind) ?? []
    this.#durationsMs.delete(kind)
    this.#durationsMs.set(kind, [...known, durationMs].slice(-RUNS_KEPT))
    if (this.#durationsMs.size > KINDS_KEPT) this.#durationsMs.delete(this.#durationsMs.keys().next().value as string)
  }

  /** What a run that begins now may well take. Undefined while too few have ended. */
  likelyLongestMs (kind: string): number | undefined {
    const known = this.#durationsMs.get(kind) ?? []
    return known.length < FEWEST_RUNS ? undefined : MARGIN * Math.max(...known)
  }
}
