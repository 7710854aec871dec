import { holdLabelKey, type PoolAnswer, type PoolCall, PoolCallOutcome, PoolOutcome, type RunningPoolCall } from '@reelspan/core.messages'
import { ClientShares } from '@reelspan/scheduling.client-shares'
import { queueOrder, type WaitingCall } from './callQueue.js'
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

interface RunningCall {
  upstream: string
  owner: string
  startedAtMs: number
  dropAtMs: number
  /** It took the last slot of its upstream. */
  atLimit: boolean
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
    if (!this.#running.has(key)) this.#start(key, { upstream, owner: label.ownerIncarnation, startedAtMs: nowMs - ageMs, dropAtMs: nowMs + label.maxHoldMs + RELEASE_GRACE_MS, atLimit: false })
  }

  /** Answers a call. One that waits is asked for again under the same label. */
  request (call: PoolCall, nowMs: number): PoolAnswer {
    const key = holdLabelKey(call.label)
    const known = this.answerTo(key)
    if (known) return known
    const early = this.#refuseEarlyRetry(call, nowMs)
    if (early) return early
    this.#waiting.set(key, this.#waitingCall(key, call, nowMs))
    this.advance(nowMs)
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
    this.advance(nowMs)
  }

  /** Drops the calls of a box that is gone. */
  dropOwner (incarnation: string, nowMs: number): void {
    this.#running.forEach((call, key) => { if (call.owner === incarnation) this.#end(key, call) })
    this.#waiting.forEach((_call, key) => { if (ownerOf(key) === incarnation) this.#waiting.delete(key) })
    this.advance(nowMs)
  }

  /** Places and refuses waiting calls, and drops calls that must have ended. */
  advance (nowMs: number): void {
    this.#running.forEach((call, key) => { if (nowMs >= call.dropAtMs) this.#end(key, call) })
    this.#expireRefusals(nowMs)
    this.#trackUpstreams(nowMs)
    if (this.#waiting.size === 0) return
    const ordered = queueOrder([...this.#waiting.values()], (account) => this.#shares.isOverShare(account, nowMs))
    let ahead = 0
    ordered.forEach((call) => {
      const upstream = this.#upstreamFor(call, ahead, nowMs)
      if (upstream !== undefined) return this.#grant(call, upstream, nowMs)
      this.#shortSignAtMs = nowMs
      if (this.#candidates(call).length === 0) return this.#decline(call, { outcome: PoolOutcome.NoUpstream }, nowMs)
      if (this.#forecastMs(ahead) > this.#latestStartMs(call) - nowMs) return this.#refuse(call, ahead, nowMs)
      ahead++
    })
  }

  /** When `advance` must be called next without another event. Undefined if nothing waits. */
  nextDueMs (): number | undefined {
    if (this.#waiting.size === 0) return undefined
    return Math.min(...[...this.#waiting.values()].map((call) => this.#latestStartMs(call)))
  }

  #waitingCall (key: string, { account, urgency, avoid, inTimeMs, usefulMs, returnId }: PoolCall, nowMs: number): WaitingCall {
    return {
      key,
      account,
      urgency,
      avoid: new Set(avoid),
      arrivedAtMs: nowMs,
      inTimeUntilMs: nowMs + inTimeMs,
      usefulUntilMs: nowMs + usefulMs,
      promised: this.#promises.redeem(returnId, nowMs),
      returnId,
    }
  }

  /** A caller that returns before the time that it was given displaces no other call while calls wait. */
  #refuseEarlyRetry ({ returnId, account }: PoolCall, nowMs: number): PoolAnswer | undefined {
    const earlyByMs = this.#waiting.size > 0 ? this.#promises.earlyByMs(returnId, nowMs) : undefined
    return earlyByMs === undefined ? undefined : { outcome: PoolOutcome.Refused, retryAfterMs: Math.ceil(earlyByMs), overShare: this.#shares.isOverShare(account, nowMs) }
  }

  /** The upstream with a free slot that likely answers first. One that would answer late is used only if waiting for another one is in vain. */
  #upstreamFor (call: WaitingCall, ahead: number, nowMs: number): string | undefined {
    const candidates = this.#candidates(call)
    const free = candidates.filter((name) => this.#inFlightAt(name) < this.#estimateOf(name).limit)
    const best = free.sort((a, b) => this.#expectedMs(a, call) - this.#expectedMs(b, call))[0]
    if (best === undefined) return undefined
    const remainingMs = this.#latestStartMs(call) - nowMs
    const isLate = nowMs + this.#durationMs(best, call) > call.inTimeUntilMs
    const mayWait = this.#fastestMs(call, candidates) < this.#durationMs(best, call) && this.#forecastMs(ahead) <= remainingMs
    return isLate && mayWait ? undefined : best
  }

  #grant (call: WaitingCall, upstream: string, nowMs: number): void {
    this.#start(call.key, { upstream, owner: ownerOf(call.key), startedAtMs: nowMs, dropAtMs: call.usefulUntilMs + RELEASE_GRACE_MS, atLimit: this.#inFlightAt(upstream) + 1 >= this.#estimateOf(upstream).limit })
    this.#shares.charge(call.account, this.#durationMs(upstream, call), this.#opts.weightOf(call.account), nowMs)
    this.#waiting.delete(call.key)
    this.#opts.onDecided(call.key)
  }

  #refuse (call: WaitingCall, ahead: number, nowMs: number): void {
    const perMs = this.#ratePerMs()
    const usefulMs = call.usefulUntilMs - nowMs
    const retryAfterMs = this.#promises.promise(call.returnId, { drainMs: this.#forecastMs(ahead), perMs, usefulMs }, nowMs)
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
  #latestStartMs (call: WaitingCall): number {
    const durationMs = this.#fastestMs(call, this.#candidates(call))
    const lateMs = call.arrivedAtMs + LATE_WAIT_DURATIONS * durationMs
    return Math.min(call.usefulUntilMs - durationMs, Math.max(lateMs, call.inTimeUntilMs - IN_TIME_DURATIONS * durationMs))
  }

  /** Time until the call behind `ahead` others gets a slot. */
  #forecastMs (ahead: number): number {
    return (ahead + 1) / this.#ratePerMs()
  }

  #ratePerMs (): number {
    const known = [...this.#estimates.values()].flatMap(({ limit, durationMs }) => durationMs === undefined ? [] : [limit / durationMs])
    // Nothing is refused by a forecast before a call has ended.
    return known.length > 0 ? sum(known) : Number.POSITIVE_INFINITY
  }

  #candidates ({ avoid }: WaitingCall): string[] {
    const allowed = [...this.#estimates.keys()].filter((name) => !avoid.has(name))
    const working = allowed.filter((name) => !this.#opts.isFailing(name))
    return working.length > 0 ? working : allowed
  }

  #fastestMs (call: WaitingCall, candidates: readonly string[]): number {
    return Math.min(...candidates.map((name) => this.#durationMs(name, call)))
  }

  #expectedMs (upstream: string, call: WaitingCall): number {
    return this.#durationMs(upstream, call) * (1 + this.#inFlightAt(upstream) / this.#estimateOf(upstream).limit)
  }

  #durationMs (upstream: string, { arrivedAtMs, inTimeUntilMs }: WaitingCall): number {
    return this.#estimates.get(upstream)?.durationMs ?? UNKNOWN_DURATION_SHARE * Math.max(0, inTimeUntilMs - arrivedAtMs)
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

  #estimateOf (upstream: string): ConcurrencyEstimate {
    return this.#estimates.get(upstream) as ConcurrencyEstimate
  }

  #inFlightAt (upstream: string): number {
    return this.#inFlight.get(upstream) ?? 0
  }

  #start (key: string, call: RunningCall): void {
    this.#running.set(key, call)
    this.#inFlight.set(call.upstream, this.#inFlightAt(call.upstream) + 1)
  }

  #end (key: string, { upstream }: RunningCall): void {
    this.#running.delete(key)
    const remaining = this.#inFlightAt(upstream) - 1
    if (remaining > 0) this.#inFlight.set(upstream, remaining)
    else this.#inFlight.delete(upstream)
  }
}

/** The owner's incarnation in a key made by `holdLabelKey`. */
function ownerOf (key: string): string {
  return key.slice(0, key.indexOf('/'))
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
