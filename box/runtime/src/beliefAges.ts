import { type Clock } from '@reelspan/core.env'
import { Collection } from '@reelspan/core.messages'
import { type LabelledValue } from '@reelspan/telemetry.metrics'

export interface BeliefAgesOptions {
  clock: Clock
  /** How long ago the platform answered anyone, as far as this box knows. */
  platformSilentMs: () => number | undefined
  /** How long ago the engine spoke that has been silent longest, of those that this box schedules. */
  oldestReportAgeMs: () => number | undefined
}

/** How old what this box acts by is, for its metrics. */
export class BeliefAges {
  readonly #opts: BeliefAgesOptions
  readonly #adoptedAtMs = new Map<Collection, number>()

  constructor (opts: BeliefAgesOptions) {
    this.#opts = opts
  }

  /** A new revision is in force. */
  noteAdopted (collection: Collection): void {
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
