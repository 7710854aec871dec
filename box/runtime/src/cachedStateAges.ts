import { type Clock } from '@reelspan/core.env'
import { Collection } from '@reelspan/core.messages'
import { type LabelledValue } from '@reelspan/telemetry.metrics'

export interface CachedStateAgesOptions {
  clock: Clock
  /** Time since the platform last answered any box, as far as this box knows. */
  platformSilentMs: () => number | undefined
  /** Age of the oldest last report among the engines that this box schedules. */
  oldestReportAgeMs: () => number | undefined
}

/** Ages of the cached state that this box acts on, for its metrics. */
export class CachedStateAges {
  readonly #opts: CachedStateAgesOptions
  readonly #adoptedAtMs = new Map<Collection, number>()

  constructor (opts: CachedStateAgesOptions) {
    this.#opts = opts
  }

  /** Records that a new revision is in force. */
  recordAdopted (collection: Collection): void {
    this.#adoptedAtMs.set(collection, this.#opts.clock.nowMs())
  }

  values (): LabelledValue[] {
    const { platformSilentMs, oldestReportAgeMs } = this.#opts
    return [
      ...Object.values(Collection).map((collection) => ({ labels: { belief: collection }, value: this.#adoptedAgeMs(collection) })),
      { labels: { belief: 'platformContact' }, value: platformSilentMs() },
      { labels: { belief: 'engineReports' }, value: oldestReportAgeMs() },
    ]
  }

  #adoptedAgeMs (collection: Collection): number | undefined {
    const adoptedAtMs = this.#adoptedAtMs.get(collection)
    return adoptedAtMs === undefined ? undefined : this.#opts.clock.nowMs() - adoptedAtMs
  }
}
