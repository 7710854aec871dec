import { type PlatformContact } from '@reelspan/config.store'
import { type Clock } from '@reelspan/core.env'
import { Collection } from '@reelspan/core.messages'
import { type Log, LogEvent } from '@reelspan/telemetry.log'

export interface PlatformContactWatchOptions {
  clock: Clock
  log: Log
  /** Whether this box waits at the platform for news. Such a wait counts as contact until it fails. */
  isWatcher: () => boolean
}

/** Upstreams' entries lapse after some three heartbeats of about a second; a shorter absence takes none away. */
const SHORTEST_LAPSE_MS = 3000
/** Upstreams that live enter themselves again within two seconds of the platform's return. */
export const REENTRY_MS = 2200

/**
 * Follows whether the platform answers anyone: this box by itself, or its peers,
 * who tell how long ago they last knew it to answer. Says whether the platform's
 * list may lack entries that lapsed while it answered nobody.
 */
export class PlatformContactWatch {
  readonly #opts: PlatformContactWatchOptions
  readonly #listeners = new Set<() => void>()
  #reachable = true
  /** On this box's clock. Unset until the platform has answered anyone. */
  #lastContactMs?: number
  #lapsedUntilMs = Number.NEGATIVE_INFINITY

  constructor (opts: PlatformContactWatchOptions) {
    this.#opts = opts
  }

  get mayHaveLapsed (): boolean {
    return (this.silentMs ?? 0) >= SHORTEST_LAPSE_MS || this.#opts.clock.nowMs() < this.#lapsedUntilMs
  }

  /** How long ago the platform answered anyone, as far as this box knows. */
  get silentMs (): number | undefined {
    if (this.#isLive) return 0
    return this.#lastContactMs === undefined ? undefined : this.#opts.clock.nowMs() - this.#lastContactMs
  }

  /** Calls back when the platform is back after entries may have lapsed. */
  onBack (listener: () => void): void {
    this.#listeners.add(listener)
  }

  /** The platform answers this box again, or no longer. */
  note (reachable: boolean, { collection, silentMs, reason }: PlatformContact): void {
    const { clock, log } = this.#opts
    const fields = { dependency: 'platform', collection, silentMs, reason }
    if (reachable) log.info(LogEvent.DependencyRegained, fields)
    else log.warn(LogEvent.DependencyLost, fields)
    if (collection !== Collection.Fleet) return
    const lastAnswerMs = clock.nowMs() - silentMs
    if (reachable) this.#contact(clock.nowMs())
    else this.#lastContactMs = Math.max(this.#lastContactMs ?? lastAnswerMs, lastAnswerMs)
    this.#reachable = reachable
  }

  /** The platform has answered this box. */
  answered (): void {
    this.#contact(this.#opts.clock.nowMs())
  }

  /** A peer knows the platform to have answered someone so long ago. */
  hear (silentMs: number): void {
    this.#contact(this.#opts.clock.nowMs() - silentMs)
  }

  get #isLive (): boolean {
    return this.#reachable && this.#lastContactMs !== undefined && this.#opts.isWatcher()
  }

  #contact (atMs: number): void {
    const lastMs = this.#lastContactMs
    const wasAway = !this.#isLive && lastMs !== undefined && atMs - lastMs >= SHORTEST_LAPSE_MS
    this.#lastContactMs = Math.max(lastMs ?? atMs, atMs)
    if (!wasAway) return
    this.#lapsedUntilMs = this.#opts.clock.nowMs() + REENTRY_MS
    this.#listeners.forEach((listener) => listener())
  }
}
