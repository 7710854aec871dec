import { STOPPED } from '@reelspan/core.env'
import { LogEvent } from '@reelspan/telemetry.log'
import { CancelCause, type Cancellation } from './attempt.js'
import { type RelayContext } from './relayContext.js'
import { SilenceWatch } from './silenceWatch.js'

export enum ExchangeStage {
  Prefill = 'prefill',
  Decode = 'decode',
  /** A call to a service, until the head of its answer. */
  Call = 'call',
}

/** How the silence of an exchange ended. */
enum SilenceEnd {
  /** Its upstream sent something. */
  WentOn = 'wentOn',
  /** Another attempt went on with the answer. */
  GivenUp = 'givenUp',
  /** It failed, or the request ended. */
  BrokeOff = 'brokeOff',
}

export interface WatchedExchangeOptions {
  upstream: string
  stage: ExchangeStage
  timeoutMs: number
  onSilent: () => void
}

/** An exchange with an upstream whose silences are counted, logged and made known to the other requests of this box. */
export class WatchedExchange {
  readonly upstream: string
  readonly #context: RelayContext
  readonly #opts: WatchedExchangeOptions
  readonly #watch: SilenceWatch
  readonly #id = Symbol('exchange')
  readonly #ended = new AbortController()
  #silentAtMs = 0
  #upstreamSilent = false

  constructor (context: RelayContext, opts: WatchedExchangeOptions) {
    this.#context = context
    this.#opts = opts
    this.upstream = opts.upstream
    this.#watch = new SilenceWatch({
      clock: context.opts.clock,
      timeoutMs: opts.timeoutMs,
      onSilent: (silentMs) => this.#onSilent(silentMs),
      onHeard: (silentMs) => this.#recordSilenceEnd(SilenceEnd.WentOn, silentMs),
    })
  }

  /** Whether its upstream is silent, or was when the exchange ended. */
  get silent (): boolean {
    return this.#watch.silent
  }

  /** Whether its upstream sent nothing on any connection when the exchange ended. */
  get upstreamSilent (): boolean {
    return this.#upstreamSilent
  }

  /** Aborted when the exchange has ended. */
  get ended (): AbortSignal {
    return this.#ended.signal
  }

  recordReceived (): void {
    this.#watch.recordReceived()
    this.#context.silence.recordReceived(this.upstream)
    this.#context.health.recordReceived(this.upstream)
  }

  pauseDuring<T> (work: Promise<T>): Promise<T> {
    return this.#watch.pauseDuring(work)
  }

  /** @param cancellation how its attempt was cancelled, if it was */
  end (cancellation?: Cancellation): void {
    const { silence, logDecision, caller } = this.#context
    this.#ended.abort(STOPPED)
    this.#watch.stop()
    this.#upstreamSilent = this.silent && silence.isSilent(this.upstream)
    silence.recordEnd(this.upstream, this.#id)
    if (!this.silent) return
    const { silentMs } = this.#watch
    const givenUp = cancellation !== undefined && cancellation.cause !== CancelCause.Ended
    this.#recordSilenceEnd(givenUp ? SilenceEnd.GivenUp : SilenceEnd.BrokeOff, silentMs)
    if (givenUp) logDecision(LogEvent.ExchangeGivenUp, { upstream: this.upstream, stage: this.#opts.stage, ...cancellation, silentMs: Math.round(silentMs), begun: caller.begun })
  }

  #onSilent (silentMs: number): void {
    const { silence, opts: { clock }, caller, budget, logDecision } = this.#context
    if (this.#silentAtMs === 0) logDecision(LogEvent.ExchangeSilent, { upstream: this.upstream, stage: this.#opts.stage, silentMs: Math.round(silentMs), begun: caller.begun, retriesLeft: Math.floor(budget.left) })
    this.#silentAtMs = clock.nowMs()
    silence.recordSilent(this.upstream, this.#id, clock.nowMs() - silentMs)
    this.#opts.onSilent()
  }

  #recordSilenceEnd (end: SilenceEnd, silentMs: number): void {
    const { metrics } = this.#context.opts
    this.#silentAtMs = 0
    metrics.count('reelspan_upstream_silences_total', { stage: this.#opts.stage, end })
    metrics.recordMs('reelspan_upstream_silence_ms', silentMs, { stage: this.#opts.stage })
  }
}
