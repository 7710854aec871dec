import { type Clock, type Random, STOPPED, type TaskErrorListener, TaskGroup } from '@reelspan/core.env'
import { errorMessage } from '@reelspan/core.error'
import { type Collection, MessageType, type PeerLink } from '@reelspan/core.messages'
import { AdoptOutcome, type ConfigStore } from './configStore.js'
import { type PlatformReader } from './platformReader.js'
import { type RevisionedContent } from './revisionedContent.js'

/** What is known of the contact with the platform when it is lost or regained. */
export interface PlatformContact {
  collection: Collection
  /** Since the platform's last answer. */
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
  /** Whether this box is one of the few of its availability zone that watch the platform. */
  isWatcher: () => boolean
  /** Longest wait of one watch. */
  watchWaitMs: number
  /** How often a box that does not watch asks the platform all the same, on average. */
  backstopPollMs: number
  peerTimeoutMs: number
  /** Longest wait between tries while the platform does not answer, on average. */
  longestBackoffMs: number
  /** The platform has answered. */
  onAnswer?: () => void
  /** The platform answers again, or no longer. */
  onReachable?: (reachable: boolean, details: PlatformContact) => void
  onRejected?: (problems: string[], revision: number) => void
  /** The platform was asked then, and this was the newest revision, whether or not it could be adopted. */
  onConfirmed?: (revision: number, askedAtMs: number) => void
  /** Told of a task that a fault of the program ended. */
  onTaskError?: TaskErrorListener
}

const FIRST_BACKOFF_MS = 200
/** Revisions that follow each other within this time are pulled from a peer at once. */
const PULL_DELAY_MS = 100
/** A watch brings what a peer has heard of within this time, or has stalled. */
const WATCHER_PULL_DELAY_MS = 400
/** How often a box looks whether it is to watch the platform itself. */
const ROLE_CHECK_MS = 500
/** A peer that has not answered within this time does not keep others from being asked: many times a usual answer's. */
const HEDGE_MS = 200
/** While the platform does not answer it is asked to wait no longer than this, so that its return shows at once. */
const RETURN_WAIT_MS = 100
/** So long after the platform came back from an older copy, what it lost may not have been written again. */
const REWRITE_MS = 2200
/** A watch that ends sooner, without news, did not wait as it was asked to. */
const SHORTEST_WATCH_MS = 1000

/** Keeps one collection up to date from the platform and from peers. */
export class ConfigFollower {
  readonly #opts: ConfigFollowerOptions
  readonly #tasks: TaskGroup
  /** Newer revisions that peers reported, the latest report last. */
  readonly #observed = new Map<string, number>()
  /** Peers that are being asked. */
  readonly #asking = new Set<string>()
  #pulling = false
  #backoffMs = FIRST_BACKOFF_MS
  #reachable = true
  /** Whether the platform has ever answered here. */
  #answered = false
  /** When the platform last answered, on this box's clock; until it has, when this box began. */
  #lastAnswerMs: number

  constructor (opts: ConfigFollowerOptions) {
    this.#opts = opts
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
    this.#lastAnswerMs = opts.clock.nowMs()
  }

  /** Asks peers, and the platform unless it has answered before, and takes the highest revision that answers. */
  async readFirst (peerAddresses: readonly string[]): Promise<void> {
    await Promise.all([
      // A failed read is told of by `onReachable`, a failed pull by the link. What is missing then, `start` gets.
      this.#answered ? undefined : this.#readPlatform(0, true).catch(() => {}),
      ...peerAddresses.map((address) => this.#pull(address).catch(() => {})),
    ])
  }

  /** Reads what stands at the platform now, whatever its feed of changes has brought. Throws what the platform threw. */
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
   * Records the revision of a peer and pulls it when it is newer. Waits a little
   * first: revisions come in series, and a watch may bring them.
   */
  observeRevision (address: string, revision: number): void {
    if (!this.#isNewer(revision)) return
    this.#observed.delete(address)
    this.#observed.set(address, revision)
    if (this.#pulling) return
    this.#pulling = true
    this.#tasks.run(async () => {
      await this.#pullNewer()
      this.#pulling = false
    })
  }

  /** Asks one peer after the other until none is known to have anything newer. */
  async #pullNewer (): Promise<void> {
    const { clock, isWatcher } = this.#opts
    const signal = this.#tasks.signal
    await clock.sleep(isWatcher() && this.#reachable ? WATCHER_PULL_DELAY_MS : PULL_DELAY_MS, { signal })
    for (let peer = this.#nextSource(); peer !== undefined && !this.#tasks.stopped; peer = this.#nextSource()) {
      const answered = new AbortController()
      // The link logs a failed pull; the next source is asked then.
      void this.#pull(peer).catch(() => {}).finally(() => answered.abort(STOPPED))
      await clock.sleep(HEDGE_MS, { signal: AbortSignal.any([answered.signal, signal]) })
    }
  }

  /** The peer that last reported a newer revision and is not being asked. */
  #nextSource (): string | undefined {
    this.#observed.forEach((revision, address) => {
      if (!this.#isNewer(revision)) this.#observed.delete(address)
    })
    const peer = [...this.#observed.keys()].findLast((address) => !this.#asking.has(address))
    if (peer !== undefined) this.#observed.delete(peer)
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
      // Whoever loses sight of the others becomes a watcher at once.
      while (!isWatcher() && clock.nowMs() < untilMs && !this.#tasks.stopped) await clock.sleep(ROLE_CHECK_MS, { signal })
      if (this.#tasks.stopped) return
      const longestWaitMs = this.#reachable ? watchWaitMs : Math.min(watchWaitMs, RETURN_WAIT_MS)
      // `onReachable` tells of a failed read.
      await this.#readPlatform(isWatcher() ? longestWaitMs : 0).catch(() => this.#backOff())
    }
  }

  /** Waits longer after each failure in a row, and a random part of it, so that boxes do not come back together. */
  async #backOff (): Promise<void> {
    const { clock, random, longestBackoffMs } = this.#opts
    await clock.sleep(this.#backoffMs * (0.5 + random.nextFloat()), { signal: this.#tasks.signal })
    this.#backoffMs = Math.min(longestBackoffMs, this.#backoffMs * 2)
  }

  async #readPlatform (waitMs: number, fresh = false): Promise<void> {
    const { clock, platform, collection, store, onConfirmed } = this.#opts
    const since = store.revision
    const askedAtMs = clock.nowMs()
    const content = await this.#noting(platform.read(collection, since, { waitMs, fresh, position: store.position, signal: this.#tasks.signal }))
    const outcome = this.#adopt(content, since)
    if (fresh && isConfirmation(content)) onConfirmed?.(content.revision, askedAtMs)
    // A watch that brought nothing new and did not wait comes from a stale replica, or from a platform that cannot wait.
    const waitedMs = clock.nowMs() - askedAtMs
    const idle = outcome !== AdoptOutcome.Adopted && (outcome === AdoptOutcome.Invalid || waitedMs < Math.min(waitMs, SHORTEST_WATCH_MS))
    if (idle && waitMs > 0) await this.#backOff()
    else this.#backoffMs = FIRST_BACKOFF_MS
  }

  /** Notes whether the platform answers. */
  async #noting<T> (read: Promise<T>): Promise<T> {
    try {
      const content = await read
      this.#noteContact(true)
      this.#answered = true
      this.#lastAnswerMs = this.#opts.clock.nowMs()
      this.#opts.onAnswer?.()
      return content
    } catch (thrown) {
      if (!this.#tasks.stopped) this.#noteContact(false, errorMessage(thrown))
      throw thrown
    }
  }

  #noteContact (reachable: boolean, reason?: string): void {
    const { clock, collection, onReachable } = this.#opts
    if (reachable === this.#reachable) return
    this.#reachable = reachable
    onReachable?.(reachable, { collection, silentMs: Math.round(clock.nowMs() - this.#lastAnswerMs), reason })
  }

  async #pull (address: string): Promise<void> {
    const { link, collection, store, peerTimeoutMs } = this.#opts
    const since = store.revision
    this.#asking.add(address)
    try {
      const answer = await link.call(address, { type: MessageType.ConfigPull, collection, sinceRevision: since, digest: store.digest }, { timeoutMs: peerTimeoutMs, repeatable: true })
      if (answer.type !== MessageType.ConfigContent || answer.numbering === undefined || this.#adopt(answer, since) !== AdoptOutcome.Mismatch) return
      const whole = await link.call(address, { type: MessageType.ConfigPull, collection, sinceRevision: 0 }, { timeoutMs: peerTimeoutMs, repeatable: true })
      if (whole.type === MessageType.ConfigContent) this.#adopt(whole, 0)
    } finally {
      this.#asking.delete(address)
    }
  }

  /** Whoever asked gets over a read or pull that failed; a fault in checking what came must not pass for one. */
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

/** Whether content that was read freshly shows which revision is the newest. */
function isConfirmation ({ revision, shownRevision = revision, sinceRestoredMs = Number.POSITIVE_INFINITY, changes, full }: RevisionedContent): boolean {
  // Content without an entry is that of a platform which has none yet, or has lost it.
  const hasEntries = revision > 0 && (changes.length > 0 || !full)
  return hasEntries && shownRevision >= revision && sinceRestoredMs >= REWRITE_MS
}
