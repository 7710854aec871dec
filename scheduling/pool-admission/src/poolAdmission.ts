import { holdLabelKey, type PoolAnswer, type PoolCall, PoolCallOutcome, PoolOutcome, type RunningPoolCall } from '@reelspan/core.messages'
import { ClientShares } from '@reelspan/scheduling.client-shares'
import { type AccountStandings, compareCalls, type WaitingCall } from './callQueue.js'
import { ConcurrencyEstimate } from './concurrencyEstimate.js'
import { RetryPromises } from './retryPromises.js'

export interface PoolAdmissionOptions {
  /** Names of the upstreams of the pool that take work. */
  upstreams: () => readonly string[]
  /** Whether several boxes report that an upstream fails. It is used only if there is no other. */
  isFailing: (upstream: string) => boolean
  /** Weight of an account; the mean of all is about 1. */
  weightOf: (account: string) => number
  /** Limit of each upstream at the start, if another coordinator has announced one. */
  initialLimit?: number
  /** Called when a call that waited has been decided. */
  onDecided: (key: string) => void
}

/** Duration of a call before any has ended, as a share of the time in which it is in time. */
const UNKNOWN_DURATION_SHARE = 0.5
/** Calls vary in duration; one that starts this many usual durations before its time limit is likely in time. */
const IN_TIME_DURATIONS = 1.25
/** A call that cannot be in time still waits for this share of a duration: among calls that are all late, the order decides who is served. */
const LATE_WAIT_DURATIONS = 0.5
/** A sign of shortage holds for this long. */
const SIGN_HOLD_MS = 1000
/** A coordinator stops to wait for the end of a call after its deadline and this time, for the way of the message. */
const RELEASE_GRACE_MS = 500
/** Refusals are kept for this long, so that a call that is asked for twice has one answer. */
const REFUSAL_RETENTION_MS = 1000

/** An upstream at the time of a decision. */
interface UpstreamView {
  name: string
  limit: number
  /** It has just refused a call as full. */
  paused: boolean
  /** Expected duration of a call, if one has ended. */
  durationMs?: number
}

/** What does not change during one decision. */
interface PoolView {
  upstreams: readonly UpstreamView[]
  /** Upstreams that do not fail, or all if there is no other. */
  working: readonly UpstreamView[]
  ratePerMs: number
  standings: AccountStandings
}

interface RunningCall {
  upstream: string
  owner: string
  startedAtMs: number
  dropAtMs: number
  /** It took the last slot of its upstream. */
  atLimit: boolean
  /** Unknown for calls that were sent without this coordinator. */
  account?: string
}

/** State of an upstream, for metrics. */
export interface UpstreamLoad {
  upstream: string
  inFlight: number
  limit: number
}

/**
 * Decides for all boxes which upstream of a service pool takes a call, which call waits and which is refused. Runs
 * without a clock: time passes only through `advance`. Load: some hundreds of calls per second at upstreams of some
 * slots each, up to several times their capacity. A call waits only as long as it can be in time; longer queues
 * would make all answers late, and the callers' retries would be added to them.
 */
export class PoolAdmission {
  readonly #opts: PoolAdmissionOptions
  readonly #shares = new ClientShares()
  readonly #promises = new RetryPromises()
  readonly #estimates = new Map<string, ConcurrencyEstimate>()
  readonly #running = new Map<string, RunningCall>()
  readonly #inFlight = new Map<string, number>()
  readonly #waiting = new Map<string, WaitingCall>()
  /** Calls that were not granted, in the order of the decisions. */
  readonly #refused = new Map<string, { answer: PoolAnswer, atMs: number }>()
  /** Calls in flight that were granted, by account. */
  readonly #heldBy = new Map<string, number>()
  #shortSignAtMs = Number.NEGATIVE_INFINITY

  constructor (opts: PoolAdmissionOptions) {
    this.#opts = opts
  }

  get waitingCount (): number {
    return this.#waiting.size
  }

  /** Concurrent calls that all upstreams can take together. */
  get limit (): number {
    return this.#opts.upstreams().reduce((sum, name) => sum + (this.#estimates.get(name)?.limit ?? 0), 0)
  }

  /** Whether calls had to wait, or were refused by this box or an upstream, within the last second. */
  isShort (nowMs: number): boolean {
    return nowMs - this.#shortSignAtMs < SIGN_HOLD_MS
  }

  loads (): UpstreamLoad[] {
    return this.#opts.upstreams().map((upstream) => ({ upstream, inFlight: this.#inFlightAt(upstream), limit: this.#estimates.get(upstream)?.limit ?? 0 }))
  }

  /** Counts a call that was sent without this coordinator. */
  adopt ({ label, upstream, ageMs }: RunningPoolCall, nowMs: number): void {
    const key = holdLabelKey(label)
    if (!this.#running.has(key)) this.#start(key, { upstream, owner: label.ownerIncarnation, startedAtMs: nowMs - ageMs, dropAtMs: nowMs + label.maxHoldMs - ageMs + RELEASE_GRACE_MS, atLimit: false })
  }

  /** Answers a call. One that waits is asked for again under the same label. */
  request (call: PoolCall, nowMs: number): PoolAnswer {
    const key = holdLabelKey(call.label)
    const known = this.answerTo(key)
    if (known) return known
    const waiting = this.#waitingCall(key, call, nowMs)
    const view = this.#view(nowMs)
    const ahead = [...this.#waiting.values()].filter((other) => compareCalls(other, waiting, view.standings) <= 0).length
    this.#waiting.set(key, waiting)
    // Slots may have become free without an event, and go to the calls ahead first.
    if (ahead > 0) this.#placeFirst(nowMs)
    if (this.#waiting.has(key)) this.#place(waiting, ahead, view, nowMs)
    return this.answerTo(key) as PoolAnswer
  }

  /** The present answer to a call. Undefined if the call is unknown. */
  answerTo (key: string): PoolAnswer | undefined {
    const upstream = this.#running.get(key)?.upstream
    if (upstream !== undefined) return { outcome: PoolOutcome.Granted, upstream }
    return this.#waiting.has(key) ? { outcome: PoolOutcome.Waiting } : this.#refused.get(key)?.answer
  }

  /** Ends a call that runs or waits. */
  release (key: string, outcome: PoolCallOutcome, durationMs: number | undefined, nowMs: number): void {
    this.#waiting.delete(key)
    const running = this.#running.get(key)
    if (running) {
      this.#end(key, running)
      this.#learn(running, outcome, durationMs, nowMs)
    }
    this.#placeFirst(nowMs)
  }

  /** Drops the calls of a box that is gone. */
  dropOwner (incarnation: string, nowMs: number): void {
    this.#running.forEach((call, key) => { if (call.owner === incarnation) this.#end(key, call) })
    this.#waiting.forEach((_call, key) => { if (ownerOf(key) === incarnation) this.#waiting.delete(key) })
    this.advance(nowMs)
  }

  /** Places and refuses waiting calls, and drops calls that must have ended. Other methods decide only about the calls that they concern, since this takes time for long queues. */
  advance (nowMs: number): void {
    this.#running.forEach((call, key) => { if (nowMs >= call.dropAtMs) this.#end(key, call) })
    this.#expireRefusals(nowMs)
    const view = this.#view(nowMs)
    let ahead = 0
    const ordered = [...this.#waiting.values()].sort((a, b) => compareCalls(a, b, view.standings))
    ordered.forEach((call) => { if (!this.#place(call, ahead, view, nowMs)) ahead++ })
  }

  /** When `advance` must be called next without another event. Undefined if nothing waits. */
  nextDueMs (nowMs: number): number | undefined {
    if (this.#waiting.size === 0) return undefined
    const view = this.#view(nowMs)
    return Math.min(...[...this.#waiting.values()].map((call) => this.#latestStartMs(call, view)))
  }

  #waitingCall (key: string, { account, urgency, avoid, inTimeMs, usefulMs, returnId }: PoolCall, nowMs: number): WaitingCall {
    const returnKey = returnId === undefined ? undefined : `${returnId} ${account}`
    const repeated = this.#promises.earlyByMs(returnKey, nowMs) !== undefined
    return {
      key,
      account,
      urgency,
      avoid: new Set(avoid),
      arrivedAtMs: nowMs,
      inTimeUntilMs: nowMs + inTimeMs,
      usefulUntilMs: nowMs + usefulMs,
      promised: !repeated && this.#promises.redeem(returnKey, nowMs),
      repeated,
      returnKey,
    }
  }

  /** Gives free slots to the first calls. */
  #placeFirst (nowMs: number): void {
    if (this.#waiting.size === 0) return
    const view = this.#view(nowMs)
    for (;;) {
      const calls = [...this.#waiting.values()]
      if (calls.length === 0) return
      const first = calls.reduce((best, call) => compareCalls(call, best, view.standings) < 0 ? call : best)
      if (!this.#place(first, 0, view, nowMs)) return
    }
  }

  /** Grants, refuses or declines a call. Returns whether it does not wait any more. */
  #place (call: WaitingCall, ahead: number, view: PoolView, nowMs: number): boolean {
    const candidates = candidatesOf(call, view)
    const upstream = this.#upstreamFor(call, candidates, ahead, view, nowMs)
    if (upstream) this.#grant(call, upstream, nowMs)
    else this.#shortSignAtMs = nowMs
    if (upstream) return true
    if (candidates.length === 0) this.#decline(call, { outcome: PoolOutcome.NoUpstream }, nowMs)
    else if (forecastMs(ahead, view) > this.#latestStartMs(call, view) - nowMs) this.#refuse(call, ahead, view, nowMs)
    return !this.#waiting.has(call.key)
  }

  /** The upstream with a free slot that likely answers first. One that would answer late is used only if waiting for another one is in vain. */
  #upstreamFor (call: WaitingCall, candidates: readonly UpstreamView[], ahead: number, view: PoolView, nowMs: number): UpstreamView | undefined {
    const free = candidates.filter(({ name, limit, paused }) => !paused && this.#inFlightAt(name) < limit)
    if (free.length === 0) return undefined
    const expectedMs = (upstream: UpstreamView) => durationOf(upstream, call) * (1 + this.#inFlightAt(upstream.name) / upstream.limit)
    const best = free.reduce((one, other) => expectedMs(other) < expectedMs(one) ? other : one)
    const bestMs = durationOf(best, call)
    if (nowMs + bestMs <= call.inTimeUntilMs) return best
    const mayWait = fastestMs(call, candidates) < bestMs && forecastMs(ahead, view) <= this.#latestStartMs(call, view) - nowMs
    return mayWait ? undefined : best
  }

  #grant (call: WaitingCall, upstream: UpstreamView, nowMs: number): void {
    const { name, limit } = upstream
    this.#start(call.key, { upstream: name, owner: ownerOf(call.key), startedAtMs: nowMs, dropAtMs: call.usefulUntilMs + RELEASE_GRACE_MS, atLimit: this.#inFlightAt(name) + 1 >= limit, account: call.account })
    this.#shares.charge(call.account, durationOf(upstream, call), this.#opts.weightOf(call.account), nowMs)
    this.#waiting.delete(call.key)
    this.#opts.onDecided(call.key)
  }

  #refuse (call: WaitingCall, ahead: number, view: PoolView, nowMs: number): void {
    const usefulMs = call.usefulUntilMs - nowMs
    const retryAfterMs = this.#promises.earlyByMs(call.returnKey, nowMs) ?? this.#promises.promise(call.returnKey, { drainMs: forecastMs(ahead, view), perMs: view.ratePerMs, usefulMs }, nowMs)
    this.#decline(call, { outcome: PoolOutcome.Refused, retryAfterMs: Math.ceil(retryAfterMs), overShare: this.#shares.isOverShare(call.account, nowMs) }, nowMs)
  }

  #decline ({ key }: WaitingCall, answer: PoolAnswer, nowMs: number): void {
    this.#waiting.delete(key)
    this.#refused.set(key, { answer, atMs: nowMs })
    this.#opts.onDecided(key)
  }

  #expireRefusals (nowMs: number): void {
    for (const [key, { atMs }] of this.#refused) {
      if (nowMs - atMs < REFUSAL_RETENTION_MS) return
      this.#refused.delete(key)
    }
  }

  #learn ({ upstream, startedAtMs, atLimit }: RunningCall, outcome: PoolCallOutcome, durationMs: number | undefined, nowMs: number): void {
    const estimate = this.#estimates.get(upstream)
    if (outcome === PoolCallOutcome.Full) {
      this.#shortSignAtMs = nowMs
      estimate?.recordFull(startedAtMs, nowMs)
    }
    if (outcome === PoolCallOutcome.Answered && durationMs !== undefined) estimate?.recordAnswer(durationMs, { startedAtMs, atLimit }, nowMs)
  }

  /** Latest start at which a call is in time at the fastest upstream, or may still be of use if it cannot be in time. */
  #latestStartMs (call: WaitingCall, view: PoolView): number {
    const durationMs = fastestMs(call, candidatesOf(call, view))
    const lateMs = call.arrivedAtMs + LATE_WAIT_DURATIONS * durationMs
    return Math.min(call.usefulUntilMs - durationMs, Math.max(lateMs, call.inTimeUntilMs - IN_TIME_DURATIONS * durationMs))
  }

  #view (nowMs: number): PoolView {
    this.#trackUpstreams(nowMs)
    const upstreams = [...this.#estimates].map(([name, estimate]): UpstreamView => ({ name, limit: estimate.limit, paused: estimate.isPaused(nowMs), durationMs: estimate.durationMs }))
    const working = upstreams.filter(({ name }) => !this.#opts.isFailing(name))
    const usable = working.length > 0 ? working : upstreams
    const rates = usable.flatMap(({ limit, durationMs }) => durationMs === undefined ? [] : [limit / durationMs])
    const over = new Map<string, boolean>()
    return {
      upstreams,
      working: usable,
      // Nothing is refused by a forecast before a call has ended.
      ratePerMs: rates.length > 0 ? rates.reduce((sum, rate) => sum + rate, 0) : Number.POSITIVE_INFINITY,
      standings: {
        isOverShare: (account) => {
          const known = over.get(account) ?? this.#shares.isOverShare(account, nowMs)
          over.set(account, known)
          return known
        },
        heldPerWeight: (account) => (this.#heldBy.get(account) ?? 0) / this.#opts.weightOf(account),
      },
    }
  }

  #trackUpstreams (nowMs: number): void {
    const listed = this.#opts.upstreams()
    listed.filter((name) => !this.#estimates.has(name)).forEach((name) => this.#estimates.set(name, new ConcurrencyEstimate(nowMs, () => this.#mayProbe(), this.#opts.initialLimit)))
    if (this.#estimates.size > listed.length) [...this.#estimates.keys()].filter((name) => !listed.includes(name)).forEach((name) => this.#estimates.delete(name))
  }

  /** Probes of several upstreams at once would take too much of the pool's capacity. */
  #mayProbe (): boolean {
    return ![...this.#estimates.values()].some(({ isProbing }) => isProbing)
  }

  #inFlightAt (upstream: string): number {
    return this.#inFlight.get(upstream) ?? 0
  }

  #start (key: string, call: RunningCall): void {
    this.#running.set(key, call)
    addTo(this.#inFlight, call.upstream, 1)
    if (call.account !== undefined) addTo(this.#heldBy, call.account, 1)
  }

  #end (key: string, { upstream, account }: RunningCall): void {
    this.#running.delete(key)
    addTo(this.#inFlight, upstream, -1)
    if (account !== undefined) addTo(this.#heldBy, account, -1)
  }
}

/** The owner's incarnation in a key made by `holdLabelKey`. */
function ownerOf (key: string): string {
  return key.slice(0, key.indexOf('/'))
}

function addTo (counts: Map<string, number>, name: string, change: number): void {
  const count = (counts.get(name) ?? 0) + change
  if (count > 0) counts.set(name, count)
  else counts.delete(name)
}

function candidatesOf ({ avoid }: WaitingCall, { upstreams, working }: PoolView): readonly UpstreamView[] {
  if (avoid.size === 0) return working
  const allowed = working.filter(({ name }) => !avoid.has(name))
  return allowed.length > 0 ? allowed : upstreams.filter(({ name }) => !avoid.has(name))
}

function fastestMs (call: WaitingCall, candidates: readonly UpstreamView[]): number {
  return candidates.reduce((fastest, upstream) => Math.min(fastest, durationOf(upstream, call)), Number.POSITIVE_INFINITY)
}

function durationOf ({ durationMs }: UpstreamView, { arrivedAtMs, inTimeUntilMs }: WaitingCall): number {
  return durationMs ?? UNKNOWN_DURATION_SHARE * Math.max(0, inTimeUntilMs - arrivedAtMs)
}

/** Time until the call behind `ahead` others gets a slot. */
function forecastMs (ahead: number, { ratePerMs }: PoolView): number {
  return (ahead + 1) / ratePerMs
}
