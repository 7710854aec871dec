/** Runs of a kind that are remembered: some minutes of a calm day, some seconds of a busy one. */
const MAX_RUNS_PER_KIND = 64
/** Kinds that are remembered, those that ran last: more than a deployment has routes, and bounded where routes come and go. */
const MAX_KINDS = 4000
/** Fewer runs do not tell how long the next one may last: among this many, the longest is passed by one in nine that follow. */
const MIN_RUNS = 8
/** A run may last this many times as long as the longest that is remembered: engines slow down while others are lost. */
const SAFETY_FACTOR = 1.25

/** How long runs of a kind have lasted of late. */
export class RunDurations {
  readonly #durationsMs = new Map<string, number[]>()

  record (kind: string, durationMs: number): void {
    const known = this.#durationsMs.get(kind) ?? []
    this.#durationsMs.delete(kind)
    this.#durationsMs.set(kind, [...known, durationMs].slice(-MAX_RUNS_PER_KIND))
    if (this.#durationsMs.size > MAX_KINDS) this.#durationsMs.delete(this.#durationsMs.keys().next().value as string)
  }

  /** What a run that begins now may well take. Undefined while too few have ended. */
  expectedMaxMs (kind: string): number | undefined {
    const known = this.#durationsMs.get(kind) ?? []
    return known.length < MIN_RUNS ? undefined : SAFETY_FACTOR * Math.max(...known)
  }
}
