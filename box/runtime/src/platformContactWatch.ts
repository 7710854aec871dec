import { REENTRY_MS } from '@reelspan/config.fleet'
import { type PlatformContact } from '@reelspan/config.store'
import { type Clock } from '@reelspan/core.env'
import { Collection, type PlatformAnswering } from '@reelspan/core.messages'
import { type Log, LogEvent } from '@reelspan/telemetry.log'

export interface PlatformContactWatchOptions {
  clock: Clock
  log: Log
  /** Whether this box waits at the platform for news. Such a wait counts as contact until it fails. */
  isWatcher: () => boolean
  /** When the platform last answered this box, on this box's clock. */
  lastAnswerMs: () => number
}

/** A time, on this box's clock, throughout which the platform answered somebody at least every few seconds. */
interface Stretch {
  sinceMs: number
  lastMs: number
}

/** Upstreams' entries lapse after some three heartbeats of about a second; a shorter absence takes none away. */
const SHORTEST_LAPSE_MS = 3000

/**
 * Follows whether the platform answers anyone: this box by itself, or its peers,
 * who tell since when they have known it to answer. Says whether the platform's
 * list may lack entries that lapsed while it answered nobody. That this box lost
 * contact proves no absence: peers that kept it say so, also afterwards.
 */
export class PlatformContactWatch {
  readonly #opts: PlatformContactWatchOptions
  readonly #listeners = new Set<() => void>()
  #reachable = true
  /** Unset until the platform has answered anyone. */
  #stretch?: Stretch
  /** The stretch before the latest one, if there was an absence between them. */
  #before?: Stretch
  /** When somebody was last in contact, a wait that had not failed counted. */
  #contactAtMs = Number.NEGATIVE_INFINITY

  constructor (opts: PlatformContactWatchOptions) {
    this.#opts = opts
  }

  get mayHaveLapsed (): boolean {
    if ((this.silentMs ?? 0) >= SHORTEST_LAPSE_MS) return true
    return this.#before !== undefined && this.#stretch !== undefined && this.#opts.clock.nowMs() < this.#stretch.sinceMs + REENTRY_MS
  }

  /** How long ago anyone was in contact with the platform, as far as this box knows. */
  get silentMs (): number | undefined {
    if (this.#isLive) return 0
    return this.#stretch && this.#opts.clock.nowMs() - this.#contactAtMs
  }

  /** What this box can tell its peers. */
  get answering (): PlatformAnswering | undefined {
    const { silentMs } = this
    const stretch = this.#known
    if (silentMs === undefined || !stretch) return undefined
    const nowMs = this.#opts.clock.nowMs()
    return { silentMs, answeredMs: nowMs - stretch.lastMs, answeringMs: nowMs - stretch.sinceMs }
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
    // A wait that has failed was no contact.
    if (!reachable) this.#reachable = false
    const lastAnswerMs = reachable ? clock.nowMs() : Math.max(clock.nowMs() - silentMs, this.#opts.lastAnswerMs())
    this.#noteContact(lastAnswerMs)
    this.#take({ sinceMs: lastAnswerMs, lastMs: lastAnswerMs })
    this.#reachable = reachable
  }

  /** The platform has answered this box. */
  answered (): void {
    const nowMs = this.#opts.clock.nowMs()
    this.#noteContact(nowMs)
    this.#take({ sinceMs: nowMs, lastMs: nowMs })
  }

  /** A peer tells what it knows. */
  hear ({ silentMs, answeredMs, answeringMs }: PlatformAnswering): void {
    const nowMs = this.#opts.clock.nowMs()
    this.#noteContact(nowMs - silentMs)
    this.#take({ sinceMs: nowMs - answeringMs, lastMs: nowMs - answeredMs })
  }

  get #isLive (): boolean {
    return this.#reachable && this.#stretch !== undefined && this.#opts.isWatcher()
  }

  /** The latest stretch, with what this box's own wait has brought since it was last looked at. */
  get #known (): Stretch | undefined {
    const stretch = this.#stretch
    if (!stretch || !this.#isLive) return stretch
    return { ...stretch, lastMs: Math.max(stretch.lastMs, this.#opts.lastAnswerMs()) }
  }

  #noteContact (atMs: number): void {
    this.#contactAtMs = Math.max(this.#contactAtMs, atMs)
  }

  #take (told: Stretch): void {
    const known = this.#known
    // As long as this box's own wait has not failed, there was no absence.
    const isAfterAbsence = known && !this.#isLive && isApart(known, told)
    if (!known) this.#stretch = told
    else if (isAfterAbsence) this.#beginStretch(known, told)
    else if (!isApart(told, known)) this.#extend(joined(known, told))
  }

  /** The platform answered nobody between what was known and what is told. */
  #beginStretch (known: Stretch, told: Stretch): void {
    this.#before = known
    this.#stretch = told
    this.#listeners.forEach((listener) => listener())
  }

  /** Whoever was answered during what was taken for an absence shows that there was none. */
  #extend (stretch: Stretch): void {
    const joinsBefore = this.#before !== undefined && !isApart(this.#before, stretch)
    this.#stretch = joinsBefore ? joined(this.#before as Stretch, stretch) : stretch
    if (joinsBefore) this.#before = undefined
  }
}

/** Whether entries may have lapsed between the end of the earlier stretch and the beginning of the later one. */
function isApart (earlier: Stretch, later: Stretch): boolean {
  return later.sinceMs - earlier.lastMs >= SHORTEST_LAPSE_MS
}

function joined (a: Stretch, b: Stretch): Stretch {
  return { sinceMs: Math.min(a.sinceMs, b.sinceMs), lastMs: Math.max(a.lastMs, b.lastMs) }
}
