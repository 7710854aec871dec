import { type Clock } from '@reelspan/core.env'
import { type StreamOrigin } from '@reelspan/core.messages'

interface KeptOrigin extends StreamOrigin {
  expiresAtMs: number
}

/** Some 500 bytes each. */
const MAX_RECORDS = 10_000

/** The streams that this box knows the origins of, each until its client no longer takes it up. */
export class OriginRecords {
  readonly #clock: Clock
  /** By the attempt that began the stream, the oldest first. */
  readonly #origins = new Map<string, KeptOrigin>()

  constructor ({ clock }: { clock: Clock }) {
    this.#clock = clock
  }

  get size (): number {
    return this.#origins.size
  }

  /** Adds an origin, or keeps a known one for longer. The version that was recorded first stands. */
  add (origin: StreamOrigin): void {
    const known = this.#origins.get(origin.attempt)
    this.#origins.delete(origin.attempt)
    const nowMs = this.#clock.nowMs()
    const expiresAtMs = Math.max(known?.expiresAtMs ?? 0, nowMs + origin.keepMs)
    this.#origins.set(origin.attempt, { ...known && known.expiresAtMs > nowMs ? known : origin, expiresAtMs })
    this.#dropOldest(nowMs)
  }

  /** The version that began a stream of a model; undefined if it is not known here. */
  versionOf (attempt: string, model: string): string | undefined {
    const origin = this.#origins.get(attempt)
    return origin && origin.model === model && origin.expiresAtMs > this.#clock.nowMs() ? origin.version : undefined
  }

  /** Whether a stream began at another model, to which its route may have led then. */
  isOfOtherModel (attempt: string, model: string): boolean {
    const origin = this.#origins.get(attempt)
    return origin !== undefined && origin.model !== model && origin.expiresAtMs > this.#clock.nowMs()
  }

  /** All origins of a model's streams, with the time left for each. */
  ofModel (model: string): StreamOrigin[] {
    const nowMs = this.#clock.nowMs()
    return [...this.#origins.values()]
      .filter((origin) => origin.model === model && origin.expiresAtMs > nowMs)
      .map(({ expiresAtMs, ...origin }) => ({ ...origin, keepMs: expiresAtMs - nowMs }))
  }

  #dropOldest (nowMs: number): void {
    for (const [attempt, { expiresAtMs }] of this.#origins) {
      if (expiresAtMs > nowMs && this.#origins.size <= MAX_RECORDS) return
      this.#origins.delete(attempt)
    }
  }
}
