/** Calls over which the expected duration is the median. */
const RECENT_CALLS = 12
/** Too low a limit refuses calls that could be served; too high a limit only delays calls until it is learned. */
const INITIAL_LIMIT = 8
/** Calls by which a limit is judged, at least; a third of them may be affected by a stall. */
const MIN_WINDOW_CALLS = 12
/** Windows grow with the limit, so that each covers about two calls per slot. */
const WINDOW_CALLS_PER_SLOT = 2
/** Durations are judged by this quantile: a stall delays up to one call per slot, which is half of a window. */
const JUDGED_QUANTILE = 0.3
/** Below this ratio to the unloaded duration the limit rises. One call more than an upstream of 6 slots runs gives 1.17: a short queue keeps all slots busy. */
const UNLOADED_RATIO = 1.25
/** Above this ratio the limit falls. Three calls more than an upstream of 6 slots runs give 1.5; narrower thresholds cut the limit below the slots when durations vary by a fifth. */
const QUEUED_RATIO = 1.5
/** Growth per window until the first sign of a queue. */
const START_GROWTH = 1.5
/** Growth per window after it, at least one call: a limit that was cut because of calls that this coordinator did not grant recovers within a second. */
const GROWTH = 1.25
/** A limit is cut to no less than this share at once. */
const MIN_CUT = 0.5
/** Cut when an upstream refuses a call as full. */
const FULL_CUT = 0.85
/** After a refusal as full no call is sent for this share of a duration, in which an upstream of some slots ends some calls. Otherwise each slot that a refused call frees leads to the next refusal and cut within 2 ms. */
const FULL_PAUSE_DURATIONS = 0.5
/** Used before a call has ended. */
const DEFAULT_PAUSE_MS = 30
const MAX_PAUSE_MS = 100
/** The unloaded duration is measured again at a lower limit at this interval, since it may have changed. Costs some 1 % of an upstream's capacity. */
const PROBE_INTERVAL_MS = 8000
/** Low enough that an upstream at its limit has no queue during a probe: limits reach 1.5 times the slots. */
const PROBE_SHARE = 0.6

interface Cut {
  limitBefore: number
  durationMs: number
  ratio: number
}

/**
 * Estimates how many concurrent calls an upstream can take, from the durations of calls and from its refusals. The limit
 * rises while calls take as long as without load, and falls when they take longer, which means that they wait inside
 * the upstream. If calls take as long after a cut as before, the upstream has become slower and the cut is undone.
 */
export class ConcurrencyEstimate {
  readonly #mayProbe: () => boolean
  #limit: number
  #changedAtMs: number
  #probedAtMs = Number.NEGATIVE_INFINITY
  #unloadedMs?: number
  #recentMs: number[] = []
  #durationMs?: number
  #pausedUntilMs = Number.NEGATIVE_INFINITY
  #starting = true
  #probing = false
  #cut?: Cut
  #window: number[] = []

  /** @param mayProbe whether no other upstream is being measured at a lower limit */
  constructor (nowMs: number, mayProbe: () => boolean, initialLimit = INITIAL_LIMIT) {
    this.#mayProbe = mayProbe
    this.#limit = Math.max(1, initialLimit)
    this.#changedAtMs = nowMs
  }

  /** Whether the unloaded duration is being measured at a lower limit. */
  get isProbing (): boolean {
    return this.#probing
  }

  /** Concurrent calls that the upstream may have. */
  get limit (): number {
    return Math.max(1, Math.floor(this.#probing ? PROBE_SHARE * this.#limit : this.#limit))
  }

  /** Whether the upstream has just refused a call as full. */
  isPaused (nowMs: number): boolean {
    return nowMs < this.#pausedUntilMs
  }

  /** Expected duration of a call. Undefined until a call has ended. */
  get durationMs (): number | undefined {
    return this.#durationMs
  }

  /**
   * Records how long a call took.
   *
   * @param atLimit whether the call took the last slot. Only these calls show whether the limit is too high.
   */
  recordAnswer (durationMs: number, { startedAtMs, atLimit }: { startedAtMs: number, atLimit: boolean }, nowMs: number): void {
    this.#recentMs = [...this.#recentMs, durationMs].slice(-RECENT_CALLS)
    this.#durationMs = quantile(this.#recentMs, 0.5)
    // An earlier call shows the effect of an earlier limit.
    if (!atLimit || startedAtMs < this.#changedAtMs) return
    this.#window.push(durationMs)
    if (this.#window.length >= Math.max(MIN_WINDOW_CALLS, WINDOW_CALLS_PER_SLOT * this.#limit)) this.#judge(nowMs)
  }

  /** Records that the upstream refused a call as full. */
  recordFull (startedAtMs: number, nowMs: number): void {
    if (startedAtMs < this.#changedAtMs) return
    this.#pausedUntilMs = nowMs + Math.min(MAX_PAUSE_MS, this.#durationMs === undefined ? DEFAULT_PAUSE_MS : FULL_PAUSE_DURATIONS * this.#durationMs)
    this.#starting = false
    this.#cut = undefined
    this.#setLimit(FULL_CUT * this.#limit, nowMs)
  }

  #judge (nowMs: number): void {
    const judgedMs = quantile(this.#window, JUDGED_QUANTILE)
    const cut = this.#cut
    this.#cut = undefined
    this.#window = []
    if (this.#probing) return this.#endProbe(judgedMs, nowMs)
    if (cut && judgedMs > cut.durationMs * (1 + cut.ratio) / 2) {
      this.#unloadedMs = judgedMs
      return this.#setLimit(cut.limitBefore, nowMs)
    }
    this.#unloadedMs = Math.min(judgedMs, this.#unloadedMs ?? judgedMs)
    const ratio = judgedMs / this.#unloadedMs
    if (ratio > QUEUED_RATIO) return this.#cutBy(Math.max(MIN_CUT, 1 / ratio), judgedMs, nowMs)
    if (!this.#starting && nowMs - this.#probedAtMs >= PROBE_INTERVAL_MS && this.#mayProbe()) return this.#startProbe(nowMs)
    if (ratio <= UNLOADED_RATIO) this.#setLimit(this.#starting ? START_GROWTH * this.#limit : Math.max(this.#limit + 1, GROWTH * this.#limit), nowMs)
  }

  #cutBy (ratio: number, durationMs: number, nowMs: number): void {
    this.#starting = false
    this.#cut = { limitBefore: this.#limit, durationMs, ratio }
    this.#setLimit(ratio * this.#limit, nowMs)
  }

  #startProbe (nowMs: number): void {
    this.#probing = true
    this.#setLimit(this.#limit, nowMs)
  }

  #endProbe (judgedMs: number, nowMs: number): void {
    this.#probing = false
    this.#probedAtMs = nowMs
    this.#unloadedMs = judgedMs
    this.#setLimit(this.#limit, nowMs)
  }

  #setLimit (limit: number, nowMs: number): void {
    this.#limit = Math.max(1, limit)
    this.#changedAtMs = nowMs
    this.#window = []
  }
}

function quantile (values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]
}
