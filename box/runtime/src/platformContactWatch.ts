import { type PlatformContact } from '@reelspan/config.store'
import { type Clock } from '@reelspan/core.env'
import { Collection } from '@reelspan/core.messages'
import { type Log, LogEvent } from '@reelspan/telemetry.log'

export interface PlatformContactWatchOptions {
  clock: Clock
  log: Log
}

/** Upstreams' entries lapse after some three heartbeats of about a second; a shorter absence takes none away. */
const SHORTEST_LAPSE_MS = 3000
/** Upstreams that live enter themselves again within two seconds of the platform's return. */
export const REENTRY_MS = 2200

/** Follows whether the platform answers this box, and whether its list may lack entries that lapsed meanwhile. */
export class PlatformContactWatch {
  readonly #opts: PlatformContactWatchOptions
  readonly #listeners = new Set<() => void>()
  #lapsedUntilMs = Number.NEGATIVE_INFINITY
  #lostAtMs?: number

  constructor (opts: PlatformContactWatchOptions) {
    this.#opts = opts
  }

  get mayHaveLapsed (): boolean {
    const nowMs = this.#opts.clock.nowMs()
    const awayMs = this.#lostAtMs === undefined ? 0 : nowMs - this.#lostAtMs
    return awayMs >= SHORTEST_LAPSE_MS || nowMs < this.#lapsedUntilMs
  }

  /** Calls back when the platform is back after entries may have lapsed. */
  onBack (listener: () => void): void {
    this.#listeners.add(listener)
  }

  note (reachable: boolean, { collection, silentMs, reason }: PlatformContact): void {
    const { clock, log } = this.#opts
    const fields = { dependency: 'platform', collection, silentMs, reason }
    if (reachable) log.info(LogEvent.DependencyRegained, fields)
    else log.warn(LogEvent.DependencyLost, fields)
    if (collection !== Collection.Fleet) return
    this.#lostAtMs = reachable ? undefined : clock.nowMs() - silentMs
    if (!reachable || silentMs < SHORTEST_LAPSE_MS) return
    this.#lapsedUntilMs = clock.nowMs() + REENTRY_MS
    this.#listeners.forEach((listener) => listener())
  }
}
