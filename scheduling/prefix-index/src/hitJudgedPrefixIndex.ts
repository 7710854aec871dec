import { EntriesPrefixIndex } from './entriesPrefixIndex.js'
import { type RemovalPage } from './prefixIndex.js'

const MAX_REMOVALS_PER_ENGINE = 4000

interface RemovalLog {
  /** Time at which the last removal event of each digest was received, oldest first. */
  removedAtMs: Map<string, number>
  /** Removals before this time may be missing. */
  completeSinceMs: number
}

export interface HitJudgedOptions {
  /** Approximate delay between a removal and its event. */
  eventLagMs: number
  /** How long an entry that predates the log is still assumed to be cached. */
  unconfirmedTtlMs: number
}

/**
 * Validates an entry on lookup against a bounded log of recent removals: first by
 * its age (an entry younger than the log needs no further check of completeness),
 * then by the removal of its digest. Events do not trigger a sweep of the entries.
 *
 * The idea is from X. Bai and F. P. Junqueira, "Online Result Cache
 * Invalidation for Real-time Web Search".
 */
export class HitJudgedPrefixIndex extends EntriesPrefixIndex {
  readonly #opts: HitJudgedOptions
  readonly #logs = new Map<string, RemovalLog>()

  constructor (maxEntriesPerEngine: number, opts: HitJudgedOptions) {
    super(maxEntriesPerEngine)
    this.#opts = opts
  }

  recordRemovals (engine: string, page: RemovalPage, nowMs: number): void {
    const log = this.#logs.get(engine) ?? { removedAtMs: new Map(), completeSinceMs: nowMs }
    this.#logs.set(engine, log)
    if (page.afterGap) log.completeSinceMs = nowMs
    page.removedDigests.forEach((digest) => {
      log.removedAtMs.delete(digest)
      log.removedAtMs.set(digest, nowMs)
    })
    const surplus = log.removedAtMs.size - MAX_REMOVALS_PER_ENGINE
    if (surplus <= 0) return
    const dropped = [...log.removedAtMs].slice(0, surplus)
    dropped.forEach(([digest]) => log.removedAtMs.delete(digest))
    log.completeSinceMs = Math.max(log.completeSinceMs, dropped[surplus - 1][1])
  }

  override removeEngine (engine: string): void {
    super.removeEngine(engine)
    this.#logs.delete(engine)
  }

  protected isProbablyCached (engine: string, digest: string, sentAtMs: number, nowMs: number): boolean {
    const log = this.#logs.get(engine)
    if (!log) return nowMs - sentAtMs <= this.#opts.unconfirmedTtlMs
    const predatesLog = sentAtMs + this.#opts.eventLagMs < log.completeSinceMs
    if (predatesLog && nowMs - sentAtMs > this.#opts.unconfirmedTtlMs) return false
    const removedAtMs = log.removedAtMs.get(digest)
    // Events are delayed: a removal event received shortly after the send may be older than the send.
    return removedAtMs === undefined || removedAtMs < sentAtMs + this.#opts.eventLagMs
  }
}
