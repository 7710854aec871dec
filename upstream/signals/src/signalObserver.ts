import { type Clock } from '@reelspan/core.env'
import { type Log, LogEvent } from '@reelspan/telemetry.log'
import { type UpstreamSignals } from '@reelspan/upstream.client'
import { type Backoffs } from './backoffs.js'
import { type UpstreamStates } from './upstreamStates.js'

export interface SignalObserverOptions {
  clock: Clock
  log: Log
  states: UpstreamStates
  backoffs: Backoffs
}

enum Signal {
  RateLimit = 'rateLimit',
  Draining = 'draining',
  Backoff = 'backoff',
}

/** Shortest time between log lines about one unreadable signal of one upstream. */
const UNREADABLE_EVERY_MS = 60_000
/** Part of an unreadable value that is logged. */
const MAX_TEXT_LENGTH = 40
/** Unreadable signals and unknown headers that are remembered. */
const MAX_REMEMBERED = 1000

/** Takes in what every response advertises about its upstream, and logs what cannot be understood. */
export class SignalObserver {
  readonly #opts: SignalObserverOptions
  readonly #unreadableAtMs = new Map<string, number>()
  readonly #unknownHeaders = new Set<string>()

  constructor (opts: SignalObserverOptions) {
    this.#opts = opts
  }

  /**
   * Records what a response to this box advertised.
   *
   * @param sentAtMs when its request was sent
   */
  observe (upstream: string, signals: UpstreamSignals, sentAtMs: number): void {
    const { states, backoffs } = this.#opts
    const { rateLimit, draining, backoff, unknownHeaders = [] } = signals
    unknownHeaders.forEach((header) => this.#logUnknown(upstream, header))
    if (rateLimit && rateLimit.perSecond === undefined) this.#logUnreadable(upstream, Signal.RateLimit, rateLimit.text)
    if (draining && draining.draining === undefined) this.#logUnreadable(upstream, Signal.Draining, draining.text)
    if (backoff && backoff.durationMs === undefined) this.#logUnreadable(upstream, Signal.Backoff, backoff.text)
    states.observe(upstream, signals, sentAtMs)
    if (backoff?.durationMs !== undefined) backoffs.start(upstream, backoff.durationMs)
  }

  #logUnreadable (upstream: string, signal: Signal, text: string): void {
    const key = `${upstream} ${signal}`
    const nowMs = this.#opts.clock.nowMs()
    if (nowMs - (this.#unreadableAtMs.get(key) ?? Number.NEGATIVE_INFINITY) < UNREADABLE_EVERY_MS) return
    if (this.#unreadableAtMs.size >= MAX_REMEMBERED) this.#unreadableAtMs.clear()
    this.#unreadableAtMs.set(key, nowMs)
    this.#opts.log.warn(LogEvent.UpstreamSignalUnreadable, { upstream, signal, text: text.slice(0, MAX_TEXT_LENGTH) })
  }

  #logUnknown (upstream: string, header: string): void {
    if (this.#unknownHeaders.has(header) || this.#unknownHeaders.size >= MAX_REMEMBERED) return
    this.#unknownHeaders.add(header)
    this.#opts.log.warn(LogEvent.UpstreamHeaderUnknown, { upstream, header: header.slice(0, MAX_TEXT_LENGTH) })
  }
}
