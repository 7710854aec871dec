import { PlacementOutcome, type PlacementRefusal } from '@reelspan/core.messages'

/** A refusal that also holds for early retries of the request. */
interface KnownRefusal {
  schedulerIncarnation: string
  busyUntilMs: number
  retryAtMs: number
}

/** A box refuses early retries without asking for at most this long: slots can become free sooner than forecast, and callers that ignore a retry delay retry within some milliseconds. */
const MAX_BUSY_MS = 250
/** Upper bound of the remembered refusals: those of 250 ms at 8,000 per second. */
const MAX_REFUSALS = 2000

/** Remembers refusals of schedulers, so that retries of the same request that arrive at this box before the retry delay has passed are refused without asking the scheduler. */
export class EarlyRefusals {
  readonly #refusals = new Map<string, KnownRefusal>()

  get size (): number {
    return this.#refusals.size
  }

  record (key: string, schedulerIncarnation: string, { retryAfterMs, busyForMs = 0 }: PlacementRefusal, nowMs: number): void {
    this.#refusals.delete(key)
    this.#dropOldest(nowMs)
    const busyMs = Math.min(busyForMs, retryAfterMs, MAX_BUSY_MS)
    if (busyMs > 0) this.#refusals.set(key, { schedulerIncarnation, busyUntilMs: nowMs + busyMs, retryAtMs: nowMs + retryAfterMs })
  }

  /** The refusal of an early retry; undefined if the scheduler has to be asked. Another scheduler knows nothing of the refusal, so retries are first attempts there. */
  find (key: string, schedulerIncarnation: string, nowMs: number): PlacementRefusal | undefined {
    const known = this.#refusals.get(key)
    if (!known || known.schedulerIncarnation !== schedulerIncarnation || nowMs >= known.busyUntilMs) return undefined
    return { outcome: PlacementOutcome.Refused, reason: 'retried before its retry delay has passed', retryAfterMs: Math.round(known.retryAtMs - nowMs) }
  }

  /** Removes expired refusals at the front, and the oldest one if there are too many. */
  #dropOldest (nowMs: number): void {
    const [oldest, next] = this.#refusals
    const entries = [oldest, next].filter((entry) => entry !== undefined)
    entries.filter(([, { busyUntilMs }]) => busyUntilMs <= nowMs || this.#refusals.size >= MAX_REFUSALS).forEach(([key]) => this.#refusals.delete(key))
  }
}
