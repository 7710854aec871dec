import { type Clock } from '@reelspan/core.env'
import { type StreamOrigin } from '@reelspan/core.messages'
import { isContentKey } from './contentKey.js'

interface KeptOrigin extends StreamOrigin {
  expiresAtMs: number
}

/** Some 500 bytes each. */
const MAX_RECORDS = 10_000

/** The streams that this box knows the origins of, each until its client no longer takes it up. */
export class OriginRecords {
  readonly #clock: Clock
  /** By the attempt that began the stream, the oldest first. Several streams may share the key of their content. */
  readonly #origins = new Map<string, readonly KeptOrigin[]>()

  constructor ({ clock }: { clock: Clock }) {
    this.#clock = clock
  }

  get size (): number {
    return this.#origins.size
  }

  /** Adds an origin, or keeps a known one for longer. The version that was recorded first stands for an attempt; streams that share a key may have begun at several. */
  add (origin: StreamOrigin): void {
    const { attempt, model, version, keepMs } = origin
    const kept = this.#origins.get(attempt) ?? []
    const live = this.#liveOf(attempt)
    const same = isContentKey(attempt) ? live.find((one) => one.model === model && one.version === version) : live[0]
    const before = isContentKey(attempt) ? same : kept[0]
    const nowMs = this.#clock.nowMs()
    const expiresAtMs = Math.max(before?.expiresAtMs ?? 0, nowMs + keepMs)
    this.#origins.delete(attempt)
    this.#origins.set(attempt, [...live.filter((one) => one !== same), { ...same ?? origin, expiresAtMs }])
    this.#dropOldest(nowMs)
  }

  /** The version that began a stream of a model; undefined if it is not known here, or several streams of this key began at different ones. */
  versionOf (attempt: string, model: string): string | undefined {
    const versions = this.versionsOf(attempt, model)
    return versions.length === 1 && !this.isOfOtherModel(attempt, model) ? versions[0] : undefined
  }

  /** The versions that began streams of a model with this key. */
  versionsOf (attempt: string, model: string): string[] {
    return this.#liveOf(attempt).filter((origin) => origin.model === model).map(({ version }) => version)
  }

  /** Whether a stream began at another model, to which its route may have led then. */
  isOfOtherModel (attempt: string, model: string): boolean {
    return this.#liveOf(attempt).some((origin) => origin.model !== model)
  }

  /** All origins of a model's streams, with the time left for each. */
  ofModel (model: string): StreamOrigin[] {
    const nowMs = this.#clock.nowMs()
    return [...this.#origins.values()].flat()
      .filter((origin) => origin.model === model && origin.expiresAtMs > nowMs)
      .map(({ expiresAtMs, ...origin }) => ({ ...origin, keepMs: expiresAtMs - nowMs }))
  }

  #liveOf (attempt: string): readonly KeptOrigin[] {
    const nowMs = this.#clock.nowMs()
    return (this.#origins.get(attempt) ?? []).filter(({ expiresAtMs }) => expiresAtMs > nowMs)
  }

  #dropOldest (nowMs: number): void {
    for (const [attempt, origins] of this.#origins) {
      if (origins.some(({ expiresAtMs }) => expiresAtMs > nowMs) && this.#origins.size <= MAX_RECORDS) return
      this.#origins.delete(attempt)
    }
  }
}
