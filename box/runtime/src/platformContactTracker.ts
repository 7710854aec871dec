import { REREGISTRATION_MS } from '@reelspan/config.fleet'
import { type PlatformContact } from '@reelspan/config.store'
import { type Clock } from '@reelspan/core.env'
import { Collection, type PlatformAvailability } from '@reelspan/core.messages'
import { type Log, LogEvent } from '@reelspan/telemetry.log'

export interface PlatformContactTrackerOptions {
  clock: Clock
  log: Log
  /** Whether this box watches the platform. A pending watch counts as contact until it fails. */
  isWatcher: () => boolean
  /** When the platform last answered this box, on this box's clock. */
  lastAnswerMs: () => number
}

/** An interval, on this box's clock, during which the platform answered some box at least every few seconds. */
interface ContactInterval {
  sinceMs: number
  lastMs: number
}

/** Entries of upstreams expire after about three missed heartbeats of about a second each. A shorter outage expires none. */
const MIN_OUTAGE_TO_EXPIRE_MS = 3000

/**
 * Tracks whether the platform answers any box: this one, or peers, which report since when it has answered.
 * Decides whether entries missing from the platform's list may only have expired during an outage.
 * Lost contact of this box alone is no outage: peers that kept contact report it, even afterwards.
 */
export class PlatformContactTracker {
  readonly #opts: PlatformContactTrackerOptions
  readonly #listeners = new Set<() => void>()
  #reachable = true
  /** Unset until the platform has answered any box. */
  #latest?: ContactInterval
  /** The interval before the latest one, if an outage separates them. */
  #previous?: ContactInterval
  /** When any box last had contact. A pending watch counts as contact. */
  #lastContactAtMs = Number.NEGATIVE_INFINITY

  constructor (opts: PlatformContactTrackerOptions) {
    this.#opts = opts
  }

  get mayHaveExpired (): boolean {
    if ((this.sinceContactMs ?? 0) >= MIN_OUTAGE_TO_EXPIRE_MS) return true
    return this.#previous !== undefined && this.#latest !== undefined && this.#opts.clock.nowMs() < this.#latest.sinceMs + REREGISTRATION_MS
  }

  /** Time since any box last had contact with the platform, as far as this box knows. */
  get sinceContactMs (): number | undefined {
    if (this.#isWaiting) return 0
    return this.#latest && this.#opts.clock.nowMs() - this.#lastContactAtMs
  }

  /** Report for the peers, or undefined if this box knows of no contact. */
  get answering (): PlatformAvailability | undefined {
    const { sinceContactMs } = this
    const interval = this.#latestKnown
    if (sinceContactMs === undefined || !interval) return undefined
    const nowMs = this.#opts.clock.nowMs()
    return { silentMs: sinceContactMs, answeredMs: nowMs - interval.lastMs, answeringMs: nowMs - interval.sinceMs }
  }

  /** Calls the listener when the platform answers again after an outage in which entries may have expired. */
  onRegained (listener: () => void): void {
    this.#listeners.add(listener)
  }

  /** Records that the platform answers this box again, or no longer. */
  recordReachability (reachable: boolean, { collection, silentMs, reason }: PlatformContact): void {
    const { clock, log } = this.#opts
    const fields = { dependency: 'platform', collection, silentMs, reason }
    if (reachable) log.info(LogEvent.DependencyRegained, fields)
    else log.warn(LogEvent.DependencyLost, fields)
    if (collection !== Collection.Fleet) return
    // A watch that failed does not count as contact.
    if (!reachable) this.#reachable = false
    const lastAnswerMs = reachable ? clock.nowMs() : Math.max(clock.nowMs() - silentMs, this.#opts.lastAnswerMs())
    this.#recordContact(lastAnswerMs)
    this.#merge({ sinceMs: lastAnswerMs, lastMs: lastAnswerMs })
    this.#reachable = reachable
  }

  recordAnswer (): void {
    const nowMs = this.#opts.clock.nowMs()
    this.#recordContact(nowMs)
    this.#merge({ sinceMs: nowMs, lastMs: nowMs })
  }

  receivePeerReport ({ silentMs, answeredMs, answeringMs }: PlatformAvailability): void {
    const nowMs = this.#opts.clock.nowMs()
    this.#recordContact(nowMs - silentMs)
    this.#merge({ sinceMs: nowMs - answeringMs, lastMs: nowMs - answeredMs })
  }

  get #isWaiting (): boolean {
    return this.#reachable && this.#latest !== undefined && this.#opts.isWatcher()
  }

  /** The latest interval, extended to the last answer of this box's pending watch. */
  get #latestKnown (): ContactInterval | undefined {
    const interval = this.#latest
    if (!interval || !this.#isWaiting) return interval
    return { ...interval, lastMs: Math.max(interval.lastMs, this.#opts.lastAnswerMs()) }
  }

  #recordContact (atMs: number): void {
    this.#lastContactAtMs = Math.max(this.#lastContactAtMs, atMs)
  }

  #merge (reported: ContactInterval): void {
    const known = this.#latestKnown
    // There was no outage as long as this box's own watch is pending.
    const isAfterOutage = known && !this.#isWaiting && hasGap(known, reported)
    if (!known) this.#latest = reported
    else if (isAfterOutage) this.#beginInterval(known, reported)
    else if (!hasGap(reported, known)) this.#extend(union(known, reported))
  }

  /** Starts a new interval after an outage, in which the platform answered no box. */
  #beginInterval (known: ContactInterval, reported: ContactInterval): void {
    this.#previous = known
    this.#latest = reported
    this.#listeners.forEach((listener) => listener())
  }

  /** Extends the latest interval. If the extension reaches the previous one, there was no outage between them. */
  #extend (interval: ContactInterval): void {
    const reachesPrevious = this.#previous !== undefined && !hasGap(this.#previous, interval)
    this.#latest = reachesPrevious ? union(this.#previous as ContactInterval, interval) : interval
    if (reachesPrevious) this.#previous = undefined
  }
}

/** Whether entries may have expired between the end of the earlier interval and the start of the later one. */
function hasGap (earlier: ContactInterval, later: ContactInterval): boolean {
  return later.sinceMs - earlier.lastMs >= MIN_OUTAGE_TO_EXPIRE_MS
}

function union (a: ContactInterval, b: ContactInterval): ContactInterval {
  return { sinceMs: Math.min(a.sinceMs, b.sinceMs), lastMs: Math.max(a.lastMs, b.lastMs) }
}
