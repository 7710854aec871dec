import { type ContentChange, orderedRevisionOf, type RevisionedContent, storeRevisionOf } from '@reelspan/config.store'
import { type Clock, Notifier } from '@reelspan/core.env'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { Collection } from '@reelspan/core.messages'

interface CollectionState {
  revision: number
  atMs: number
  entries: Map<string, ContentChange>
}

/** State of the platform that it can be restored to. */
export type PlatformBackup = Record<Collection, CollectionState>

/** A published entry. A spec of null deletes it. */
export type PublishedEntry = Pick<ContentChange, 'kind' | 'name' | 'spec'>

const RATE_WINDOW_MS = 1000

/** Model of the platform's read service: two revisioned collections. The fleet's may lag behind. */
export class PlatformModel {
  /** Number of calls so far; a waiting watch counts as one. */
  calls = 0
  /** Whether all calls fail. */
  outage = false
  /** Addresses of readers that get no answer. */
  readonly unresponsiveTo = new Set<string>()
  /** Age of the state that reads return. */
  staleMs = 0
  /** Additional lag of the fleet's collection. */
  fleetLagMs = 0
  callsPerSecond = 2000
  readonly #clock: Clock
  readonly #changed = new Notifier()
  readonly #history: Record<Collection, CollectionState[]>
  #recentCalls: number[] = []
  #era = 0
  /** Version of the declarations. Operators never reuse one, even after the platform was restored. */
  #lastDeclarationsVersion = 0

  constructor (clock: Clock) {
    this.#clock = clock
    const empty = () => [{ revision: 0, atMs: Number.NEGATIVE_INFINITY, entries: new Map() }]
    this.#history = { [Collection.Declarations]: empty(), [Collection.Fleet]: empty() }
  }

  revision (collection: Collection): number {
    return this.#latest(collection).revision
  }

  /** Publishes changed entries and returns the new revision. */
  publish (collection: Collection, entries: readonly PublishedEntry[]): number {
    const { revision: before, entries: previous } = this.#latest(collection)
    const revision = collection === Collection.Declarations ? ++this.#lastDeclarationsVersion : before + 1
    const next = new Map(previous)
    entries.forEach(({ kind, name, spec }) => next.set(`${kind}/${name}`, { kind, name, spec, revision }))
    this.#history[collection].push({ revision, atMs: this.#clock.nowMs(), entries: next })
    this.#changed.notify()
    return revision
  }

  /** Takes a backup of the current state. */
  backup (): PlatformBackup {
    return { [Collection.Declarations]: this.#latest(Collection.Declarations), [Collection.Fleet]: this.#latest(Collection.Fleet) }
  }

  /** Restores a backup and starts a new era. Revisions of the fleet are assigned again, versions of the declarations are not. */
  restore (backup: PlatformBackup): void {
    const atMs = this.#clock.nowMs()
    const fleet = backup[Collection.Fleet]
    const revision = orderedRevisionOf({ era: ++this.#era, revision: storeRevisionOf(fleet.revision).revision })
    const live = [...fleet.entries].filter(([, { spec }]) => spec !== null)
    this.#history[Collection.Fleet].push({ atMs, revision, entries: new Map(live.map(([id, entry]) => [id, { ...entry, revision }])) })
    this.#history[Collection.Declarations].push({ ...backup[Collection.Declarations], atMs })
    this.#changed.notify()
  }

  async read (collection: Collection, sinceRevision: number, waitMs: number, signal?: AbortSignal): Promise<RevisionedContent> {
    this.#countCall()
    const endMs = this.#clock.nowMs() + waitMs
    while (!signal?.aborted && !this.outage && this.#visible(collection).revision <= sinceRevision && this.#clock.nowMs() < endMs) {
      await this.#waitForChange(Math.min(endMs - this.#clock.nowMs(), this.#lagOf(collection) || waitMs), signal)
    }
    if (this.outage) throw unavailable('the platform is down')
    return contentOf(this.#visible(collection), sinceRevision)
  }

  #countCall (): void {
    const nowMs = this.#clock.nowMs()
    this.calls++
    this.#recentCalls = [...this.#recentCalls.filter((atMs) => atMs > nowMs - RATE_WINDOW_MS), nowMs]
    if (this.#recentCalls.length > this.callsPerSecond) throw unavailable('too many calls')
    if (this.outage) throw unavailable('the platform is down')
  }

  async #waitForChange (limitMs: number, signal?: AbortSignal): Promise<void> {
    const stop = new AbortController()
    const any = signal ? AbortSignal.any([signal, stop.signal]) : stop.signal
    await Promise.race([this.#changed.wait(any), this.#clock.sleep(limitMs, { signal: any })])
    stop.abort()
  }

  #lagOf (collection: Collection): number {
    return this.staleMs + (collection === Collection.Fleet ? this.fleetLagMs : 0)
  }

  #latest (collection: Collection): CollectionState {
    return this.#history[collection].at(-1) as CollectionState
  }

  #visible (collection: Collection): CollectionState {
    const untilMs = this.#clock.nowMs() - this.#lagOf(collection)
    return this.#history[collection].findLast(({ atMs }) => atMs <= untilMs) as CollectionState
  }
}

function contentOf ({ revision, entries }: CollectionState, sinceRevision: number): RevisionedContent {
  const changes = [...entries.values()]
  return sinceRevision === 0 || storeRevisionOf(revision).era !== storeRevisionOf(sinceRevision).era
    ? { revision, full: true, changes: changes.filter(({ spec }) => spec !== null) }
    : { revision, full: false, changes: changes.filter((change) => change.revision > sinceRevision) }
}

function unavailable (reason: string): ReelspanError {
  return new ReelspanError(ErrorCode.PlatformUnavailable, reason)
}
