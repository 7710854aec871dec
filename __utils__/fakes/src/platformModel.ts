import { type ContentChange, orderOf, type RevisionedContent, storeRevisionOf } from '@reelspan/config.store'
import { type Clock, Notifier } from '@reelspan/core.env'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { Collection } from '@reelspan/core.messages'

interface Snapshot {
  revision: number
  atMs: number
  entries: Map<string, ContentChange>
}

/** What the platform stood at, to come back from. */
export type PlatformCopy = Record<Collection, Snapshot>

/** A published entry. A spec of null deletes it. */
export type PublishedEntry = Pick<ContentChange, 'kind' | 'name' | 'spec'>

const RATE_WINDOW_MS = 1000

/** The platform's read service: two revisioned lists, of which that of boxes and upstreams lags. */
export class PlatformModel {
  /** Calls so far, a waiting watch counted as one. */
  calls = 0
  /** No call is answered. */
  outage = false
  /** Readers that get no answer, by address, while others do. */
  readonly silentTo = new Set<string>()
  /** Answers are what they were this long ago. */
  staleMs = 0
  /** The list of boxes and upstreams shows changes this much later. */
  fleetLagMs = 0
  callsPerSecond = 2000
  readonly #clock: Clock
  readonly #changed = new Notifier()
  readonly #history: Record<Collection, Snapshot[]>
  #recentCalls: number[] = []
  #era = 0
  /** Of the declarations: their operator gives none twice, whatever becomes of the platform. */
  #lastVersion = 0

  constructor (clock: Clock) {
    this.#clock = clock
    const empty = () => [{ revision: 0, atMs: Number.NEGATIVE_INFINITY, entries: new Map() }]
    this.#history = { [Collection.Declarations]: empty(), [Collection.Fleet]: empty() }
  }

  revision (collection: Collection): number {
    return this.#latest(collection).revision
  }

  /** What an operator does from version control. Returns the new revision. */
  publish (collection: Collection, entries: readonly PublishedEntry[]): number {
    const { revision: before, entries: known } = this.#latest(collection)
    const revision = collection === Collection.Declarations ? ++this.#lastVersion : before + 1
    const next = new Map(known)
    entries.forEach(({ kind, name, spec }) => next.set(`${kind}/${name}`, { kind, name, spec, revision }))
    this.#history[collection].push({ revision, atMs: this.#clock.nowMs(), entries: next })
    this.#changed.notify()
    return revision
  }

  /** What stands there now. */
  copy (): PlatformCopy {
    return { [Collection.Declarations]: this.#latest(Collection.Declarations), [Collection.Fleet]: this.#latest(Collection.Fleet) }
  }

  /** Comes back from an older copy, in an era of its own: the list's revisions are given out again, the declarations' versions are not. */
  restore (copy: PlatformCopy): void {
    const atMs = this.#clock.nowMs()
    const listed = copy[Collection.Fleet]
    const revision = orderOf({ era: ++this.#era, revision: storeRevisionOf(listed.revision).revision })
    const live = [...listed.entries].filter(([, { spec }]) => spec !== null)
    this.#history[Collection.Fleet].push({ atMs, revision, entries: new Map(live.map(([id, entry]) => [id, { ...entry, revision }])) })
    this.#history[Collection.Declarations].push({ ...copy[Collection.Declarations], atMs })
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

  #latest (collection: Collection): Snapshot {
    return this.#history[collection].at(-1) as Snapshot
  }

  #visible (collection: Collection): Snapshot {
    const untilMs = this.#clock.nowMs() - this.#lagOf(collection)
    return this.#history[collection].findLast(({ atMs }) => atMs <= untilMs) as Snapshot
  }
}

function contentOf ({ revision, entries }: Snapshot, sinceRevision: number): RevisionedContent {
  const changes = [...entries.values()]
  return sinceRevision === 0 || storeRevisionOf(revision).era !== storeRevisionOf(sinceRevision).era
    ? { revision, full: true, changes: changes.filter(({ spec }) => spec !== null) }
    : { revision, full: false, changes: changes.filter((change) => change.revision > sinceRevision) }
}

function unavailable (reason: string): ReelspanError {
  return new ReelspanError(ErrorCode.PlatformUnavailable, reason)
}
