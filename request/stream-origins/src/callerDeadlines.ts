/** Callers are taken to wait this long unless some are known to wait longer. */
const ASSUMED_DEADLINE_MS = 60_000
/** Longer deadlines count as this one, which bounds for how long streams are remembered. */
const MAX_DEADLINE_MS = 600_000

/** How long callers wait for the answers of each model. Routes may hold requests for a shorter time, and callers return until their own deadline. */
export class CallerDeadlines {
  readonly #observedMs = new Map<string, number>()

  /** Records the deadline of a request that does not take up a stream, so that it is the caller's first or a lower bound of it. */
  observe (model: string, deadlineMs: number): void {
    this.#observedMs.set(model, Math.max(this.observedMs(model), Math.min(deadlineMs, MAX_DEADLINE_MS)))
  }

  /** The longest deadline observed; 0 without one. */
  observedMs (model: string): number {
    return this.#observedMs.get(model) ?? 0
  }

  /** The longest time for which a caller may wait. */
  longestMs (model: string): number {
    return Math.max(this.observedMs(model), ASSUMED_DEADLINE_MS)
  }
}
