import { type HoldLabel } from '@reelspan/core.messages'
import { LogEvent } from '@reelspan/telemetry.log'
import { type CacheEventPage, type DecodeEvent, type DecodeRequest, EngineClient, type EngineOrder, type EngineReport, type EngineTraces, type PrefillRequest, type PrefillResult, type ReportOptions, type UpstreamCallOptions } from '@reelspan/upstream.client'
import { type FailureLog } from './failureLog.js'

export interface LoggedEngineClientOptions {
  engines: EngineClient
  failures: FailureLog
  /** The name of the engine at an address, if it is listed. */
  nameAt: (address: string) => string | undefined
}

/** An engine client that logs failed calls that belong to no request, so that callers can recover from them without logging. */
export class LoggedEngineClient extends EngineClient {
  readonly #opts: LoggedEngineClientOptions

  constructor (opts: LoggedEngineClientOptions) {
    super()
    this.#opts = opts
  }

  report (address: string, opts: ReportOptions): Promise<EngineReport> {
    return this.#loggingFailure('report', address, opts, this.#opts.engines.report(address, opts))
  }

  override traces (address: string, opts: ReportOptions): Promise<EngineTraces | undefined> {
    return this.#loggingFailure('traces', address, opts, this.#opts.engines.traces(address, opts))
  }

  cacheEvents (address: string, sinceSequence: number, opts: UpstreamCallOptions): Promise<CacheEventPage> {
    return this.#loggingFailure('cacheEvents', address, opts, this.#opts.engines.cacheEvents(address, sinceSequence, opts))
  }

  release (address: string, label: HoldLabel, opts: UpstreamCallOptions): Promise<void> {
    return this.#loggingFailure('release', address, opts, this.#opts.engines.release(address, label, opts))
  }

  /** Failures are logged with the request. */
  prefill (address: string, request: PrefillRequest, opts: UpstreamCallOptions): Promise<PrefillResult> {
    return this.#opts.engines.prefill(address, request, opts)
  }

  /** Failures are logged with the request. */
  decode (address: string, request: DecodeRequest, opts: UpstreamCallOptions): AsyncIterable<DecodeEvent> {
    return this.#opts.engines.decode(address, request, opts)
  }

  /** The sender of the order logs its outcome. */
  order (address: string, order: EngineOrder, opts: UpstreamCallOptions): Promise<void> {
    return this.#opts.engines.order(address, order, opts)
  }

  async #loggingFailure<T> (call: string, address: string, { signal }: UpstreamCallOptions, answer: Promise<T>): Promise<T> {
    const { failures, nameAt } = this.#opts
    try {
      return await answer
    } catch (thrown) {
      // A call that this box aborted is not a failure.
      if (!signal?.aborted) failures.recordCall({ event: LogEvent.EngineCallFailed, call, target: { upstream: nameAt(address), address } }, thrown)
      throw thrown
    }
  }
}
