import { type Clock, type Random, STOPPED, type TaskErrorListener, TaskGroup } from '@reelspan/core.env'
import { errorMessage } from '@reelspan/core.error'
import { type Collection, MessageType, type PeerLink } from '@reelspan/core.messages'
import { AdoptOutcome, type ConfigStore } from './configStore.js'
import { type PlatformReader } from './platformReader.js'
import { type RevisionedContent } from './revisionedContent.js'

/** Details of a lost or regained contact with the platform. */
export interface PlatformContact {
  collection: Collection
  /** Time since the platform's last answer. */
  silentMs: number
  reason?: string
}

export interface ConfigFollowerOptions {
  clock: Clock
  random: Random
  platform: PlatformReader
  link: PeerLink
  store: ConfigStore<unknown>
  collection: Collection
  /** Whether this box is one of the few in its availability zone that watch the platform. */
  isWatcher: () => boolean
  /** Maximum duration of one watch. */
  watchWaitMs: number
  /** Average period of the polls of a box that does not watch the platform. */
  backstopPollMs: number
  peerTimeoutMs: number
  /** Average of the longest backoff while the platform does not answer. */
  longestBackoffMs: number
  /** Called when the platform has answered. */
  onAnswer?: () => void
  /** Called when the platform becomes reachable or unreachable. */
  onReachable?: (reachable: boolean, details: PlatformContact) => void
  onRejected?: (problems: string[], revision: number) => void
  /** Called when a read that began at `askedAtMs` confirmed the newest revision, even if it was not adopted. */
  onConfirmed?: (revision: number, askedAtMs: number) => void
  /** Called when a task, or the validation of content, fails with an unexpected error. */
  onTaskError?: TaskErrorListener
}

const INITIAL_BACKOFF_MS = 200
/** Revisions that follow each other within this time are pulled from a peer together. */
const PULL_DELAY_MS = 100
/** A watch normally returns a revision that a peer reported within this time; otherwise it has stalled. */
const WATCHER_PULL_DELAY_MS = 400
/** Period at which a box checks whether it must watch the platform itself. */
const ROLE_CHECK_MS = 500
/** If a peer has not answered within this time, the next one is asked as well. Many times the typical latency. */
const HEDGE_DELAY_MS = 200
/** Maximum duration of a watch during an outage, so that the platform's recovery is detected immediately. */
const OUTAGE_WAIT_MS = 100
/** For this long after the platform is restored from an older backup, lost entries may not have been rewritten. */
const REWRITE_WINDOW_MS = 2200
/** A watch that ends sooner without a new revision did not wait as requested. */
const MIN_WATCH_MS = 1000

/** Keeps one collection up to date by reading the platform and pulling from peers. */
export class ConfigFollower {
  readonly #opts: ConfigFollowerOptions
  readonly #tasks: TaskGroup
  /** Newer revisions reported by peers, by address, the latest report last. */
  readonly #newerRevisions = new Map<string, number>()
  /** Addresses of peers with a pull in flight. */
  readonly #pullsInFlight = new Set<string>()
  #pulling = false
  #backoffMs = INITIAL_BACKOFF_MS
  #reachable = true
  /** Whether the platform has ever answered this box. */
  #answered = false
  /** When the platform last answered, by this box's clock; before its first answer, when this object was created. */
  #lastAnswerMs: number

  constructor (opts: ConfigFollowerOptions) {
    this.#opts = opts
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
    this.#lastAnswerMs = opts.clock.nowMs()
  }

  /** Reads from peers, and from the platform unless it has answered before, and adopts the highest revision. */
  async readFirst (peerAddresses: readonly string[]): Promise<void> {
    await Promise.all([
      // `onReachable` reports a failed read and the link logs a failed pull. `start` fetches what is missing then.
      this.#answered ? undefined : this.#readPlatform(0, true).catch(() => {}),
      ...peerAddresses.map((address) => this.#pull(address).catch(() => {})),
    ])
  }

  /** Reads the platform's current content, independently of its change feed. Rethrows the platform's error. */
  async confirm (): Promise<void> {
    await this.#readPlatform(0, true)
  }

  start (): void {
    this.#tasks.run(() => this.#follow())
  }

  async stop (): Promise<void> {
    await this.#tasks.stop()
  }

  /**
   * Records the revision that a peer reported, and pulls it if it is newer. Waits briefly
   * first, because revisions arrive in bursts and a watch may return them.
   */
  observeRevision (address: string, revision: number): void {
    if (!this.#isNewer(revision)) return
    this.#newerRevisions.delete(address)
    this.#newerRevisions.set(address, revision)
    if (this.#pulling) return
    this.#pulling = true
    this.#tasks.run(async () => {
      await this.#pullNewer()
      this.#pulling = false
    })
  }

  /** Pulls from one peer after the other until no newer revision is known. */
  async #pullNewer (): Promise<void> {
    const { clock, isWatcher } = this.#opts
    const signal = this.#tasks.signal
    await clock.sleep(isWatcher() && this.#reachable ? WATCHER_PULL_DELAY_MS : PULL_DELAY_MS, { signal })
    for (let peer = this.#nextSource(); peer !== undefined && !this.#tasks.stopped; peer = this.#nextSource()) {
      const answered = new AbortController()
      // The link logs a failed pull; the next peer is asked then.
      void this.#pull(peer).catch(() => {}).finally(() => answered.abort(STOPPED))
      await clock.sleep(HEDGE_DELAY_MS, { signal: AbortSignal.any([answered.signal, signal]) })
    }
  }

  /** Removes and returns the last peer that reported a newer revision and has no pull in flight. */
  #nextSource (): string | undefined {
    this.#newerRevisions.forEach((revision, address) => {
      if (!this.#isNewer(revision)) this.#newerRevisions.delete(address)
    })
    const peer = [...this.#newerRevisions.keys()].findLast((address) => !this.#pullsInFlight.has(address))
    if (peer !== undefined) this.#newerRevisions.delete(peer)
    return peer
  }

  #isNewer (revision: number): boolean {
    const { store } = this.#opts
    return revision > Math.max(store.revision, store.rejected?.revision ?? 0)
  }

  async #follow (): Promise<void> {
    const { clock, random, isWatcher, backstopPollMs, watchWaitMs } = this.#opts
    const signal = this.#tasks.signal
    while (!this.#tasks.stopped) {
      const untilMs = clock.nowMs() + backstopPollMs * (0.5 + random.nextFloat())
      // Checked often, because a box that loses contact with its peers must become a watcher immediately.
      while (!isWatcher() && clock.nowMs() < untilMs && !this.#tasks.stopped) await clock.sleep(ROLE_CHECK_MS, { signal })
      if (this.#tasks.stopped) return
      const longestWaitMs = this.#reachable ? watchWaitMs : Math.min(watchWaitMs, OUTAGE_WAIT_MS)
      // `onReachable` reports a failed read.
      await this.#readPlatform(isWatcher() ? longestWaitMs : 0).catch(() => this.#backOff())
    }
  }

  /** Exponential backoff with jitter, so that boxes do not retry simultaneously. */
  async #backOff (): Promise<void> {
    const { clock, random, longestBackoffMs } = this.#opts
    await clock.sleep(this.#backoffMs * (0.5 + random.nextFloat()), { signal: this.#tasks.signal })
    this.#backoffMs = Math.min(longestBackoffMs, this.#backoffMs * 2)
  }

  async #readPlatform (waitMs: number, fresh = false): Promise<void> {
    const { clock, platform, collection, store, onConfirmed } = this.#opts
    const since = store.revision
    const askedAtMs = clock.nowMs()
    const content = await this.#recordingContact(platform.read(collection, since, { waitMs, fresh, position: store.position, signal: this.#tasks.signal }))
    const outcome = this.#adopt(content, since)
    if (fresh && isConfirmation(content)) onConfirmed?.(content.revision, askedAtMs)
    // A watch that returned no new revision without waiting was answered by a stale replica, or the platform does not support waiting.
    const waitedMs = clock.nowMs() - askedAtMs
    const unproductive = outcome !== AdoptOutcome.Adopted && (outcome === AdoptOutcome.Invalid || waitedMs < Math.min(waitMs, MIN_WATCH_MS))
    if (unproductive && waitMs > 0) await this.#backOff()
    else this.#backoffMs = INITIAL_BACKOFF_MS
  }

  /** Records whether the platform answers a read. */
  async #recordingContact<T> (read: Promise<T>): Promise<T> {
    try {
      const content = await read
      this.#recordContact(true)
      this.#answered = true
      this.#lastAnswerMs = this.#opts.clock.nowMs()
      this.#opts.onAnswer?.()
      return content
    } catch (thrown) {
      if (!this.#tasks.stopped) this.#recordContact(false, errorMessage(thrown))
      throw thrown
    }
  }

  #recordContact (reachable: boolean, reason?: string): void {
    const { clock, collection, onReachable } = this.#opts
    if (reachable === this.#reachable) return
    this.#reachable = reachable
    onReachable?.(reachable, { collection, silentMs: Math.round(clock.nowMs() - this.#lastAnswerMs), reason })
  }

  async #pull (address: string): Promise<void> {
    const { link, collection, store, peerTimeoutMs } = this.#opts
    const since = store.revision
    this.#pullsInFlight.add(address)
    try {
      const answer = await link.call(address, { type: MessageType.ConfigPull, collection, sinceRevision: since, digest: store.digest }, { timeoutMs: peerTimeoutMs, repeatable: true })
      if (answer.type !== MessageType.ConfigContent || answer.numbering === undefined || this.#adopt(answer, since) !== AdoptOutcome.Mismatch) return
      const whole = await link.call(address, { type: MessageType.ConfigPull, collection, sinceRevision: 0 }, { timeoutMs: peerTimeoutMs, repeatable: true })
      if (whole.type === MessageType.ConfigContent) this.#adopt(whole, 0)
    } finally {
      this.#pullsInFlight.delete(address)
    }
  }

  /** Reports an unexpected error in the validation of content, because callers ignore errors as failed reads or pulls. */
  #tryAdopt (content: RevisionedContent, since: number): AdoptOutcome {
    try {
      return this.#opts.store.adopt(content, since)
    } catch (thrown) {
      this.#opts.onTaskError?.(thrown)
      throw thrown
    }
  }

  #adopt (content: RevisionedContent, since: number): AdoptOutcome {
    const { store, onRejected } = this.#opts
    const outcome = this.#tryAdopt(content, since)
    if (outcome === AdoptOutcome.Invalid) onRejected?.(store.rejected?.problems ?? [], content.revision)
    return outcome
  }
}

/** Whether content from a fresh read confirms that its revision is the newest. */
function isConfirmation ({ revision, shownRevision = revision, sinceRestoredMs = Number.POSITIVE_INFINITY, changes, full }: RevisionedContent): boolean {
  // Content without entries comes from a platform that has none yet or has lost them.
  const hasEntries = revision > 0 && (changes.length > 0 || !full)
  return hasEntries && shownRevision >= revision && sinceRestoredMs >= REWRITE_WINDOW_MS
}
