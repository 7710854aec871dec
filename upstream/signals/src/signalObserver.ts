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

/** Minimum interval between log lines about the same unreadable signal of an upstream. */
const UNREADABLE_LOG_INTERVAL_MS = 60_000
/** Unreadable values are truncated to this length in the log. */
const MAX_TEXT_LENGTH = 40
/** Maximum number of unreadable signals, and of unknown headers, remembered for log deduplication. */
const MAX_LOG_KEYS = 1000

/** Records the signals that responses carry about their upstream, and logs those that cannot be parsed. */
export class SignalObserver {
  readonly #opts: SignalObserverOptions
  readonly #unreadableLoggedAtMs = new Map<string, number>()
  readonly #unknownHeaders = new Set<string>()

  constructor (opts: SignalObserverOptions) {
    this.#opts = opts
  }

  /**
   * Records the signals of a response to this box.
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
    if (nowMs - (this.#unreadableLoggedAtMs.get(key) ?? Number.NEGATIVE_INFINITY) < UNREADABLE_LOG_INTERVAL_MS) return
    if (this.#unreadableLoggedAtMs.size >= MAX_LOG_KEYS) this.#unreadableLoggedAtMs.clear()
    this.#unreadableLoggedAtMs.set(key, nowMs)
    this.#opts.log.warn(LogEvent.UpstreamSignalUnreadable, { upstream, signal, text: text.slice(0, MAX_TEXT_LENGTH) })
  }

  #logUnknown (upstream: string, header: string): void {
    if (this.#unknownHeaders.has(header) || this.#unknownHeaders.size >= MAX_LOG_KEYS) return
    this.#unknownHeaders.add(header)
    this.#opts.log.warn(LogEvent.UpstreamHeaderUnknown, { upstream, header: header.slice(0, MAX_TEXT_LENGTH) })
  }
}
