/** A sign needs several slow calls: a stall of one upstream delays some calls, and is no lack of capacity. */
const RECENT_CALLS = 5
const SLOW_CALLS = 3
/** Older calls say nothing about the present. A box sends some calls per second to a busy pool. */
const RECENT_MS = 2000
/** Calls that take more than this share of their target are slow. */
const SLOW_TARGET_SHARE = 0.5
/** Calls vary in duration, also without load; only those that take longer than usual by this factor are slow. */
const SLOW_RATIO = 1.4
/** A single slow upstream is no lack of capacity: others are picked instead. */
const SLOW_UPSTREAMS = 2
/** EWMA weight of a call in the usual duration: some 50 calls. */
const USUAL_WEIGHT = 0.02

interface RecentCall {
  upstream: string
  atMs: number
  slow: boolean
}

/** Detects from the durations of one box's calls to a pool that the pool is short of capacity. */
export class ShortageDetector {
  /** Usual duration of a call as a share of its target. */
  #usualShare?: number
  #recent: RecentCall[] = []

  /** Records an answered call. Returns whether calls of the pool take too long. */
  record (upstream: string, { durationMs, targetMs, upstreamCount }: { durationMs: number, targetMs: number, upstreamCount: number }, nowMs: number): boolean {
    const share = durationMs / targetMs
    const usualShare = this.#usualShare ?? share
    this.#usualShare = usualShare + USUAL_WEIGHT * (share - usualShare)
    const slow = share > SLOW_TARGET_SHARE && usualShare <= SLOW_TARGET_SHARE && share > SLOW_RATIO * usualShare
    this.#recent = [...this.#recent.filter(({ atMs }) => nowMs - atMs < RECENT_MS), { upstream, atMs: nowMs, slow }].slice(-RECENT_CALLS)
    const slowCalls = this.#recent.filter((call) => call.slow)
    return slowCalls.length >= SLOW_CALLS && new Set(slowCalls.map((call) => call.upstream)).size >= Math.min(SLOW_UPSTREAMS, upstreamCount)
  }
}
