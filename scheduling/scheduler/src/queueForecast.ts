import { type ShardLedger } from '@reelspan/scheduling.ledger'
import { type PlacementChooser, type ReadyEngine } from './placementChooser.js'
import { type WaitingRequest } from './waitingQueue.js'

export interface QueueForecastOptions {
  ledger: ShardLedger
  chooser: PlacementChooser
}

/** Forecasts the queued prefill work of a scheduler and the earliest first token of a request. */
export class QueueForecast {
  readonly #opts: QueueForecastOptions

  constructor (opts: QueueForecastOptions) {
    this.#opts = opts
  }

  /** Total prefill work of all waiting requests, each at its cheapest engine. */
  queuedPrefillMs (waiting: readonly WaitingRequest[], nowMs: number): number {
    const { chooser } = this.#opts
    const engines = chooser.readyEngines(nowMs)
    if (engines.length === 0) return 0
    return waiting.reduce((sum, one) => sum + Math.min(...engines.map((ready) => chooser.costMs(one, ready, nowMs))), 0)
  }

  /** Minimum time from a free slot to the first token. */
  fromSlotMs (waiting: WaitingRequest, engines: readonly ReadyEngine[], nowMs: number): number {
    const { chooser } = this.#opts
    const prefillMs = engines.length > 0 ? Math.min(...engines.map((ready) => chooser.costMs(waiting, ready, nowMs))) : chooser.minOwnPrefillMs(waiting, nowMs) ?? 0
    return prefillMs + waiting.handoverMs
  }

  /** Minimum time to the first token; undefined if no engine takes work. */
  minTtftMs (waiting: WaitingRequest, engines: readonly ReadyEngine[], nowMs: number): number | undefined {
    const { chooser, ledger } = this.#opts
    const { request: { avoid }, handoverMs } = waiting
    const permitWaitMs = chooser.decodePermitWaitMs(waiting, nowMs)
    const usable = engines.filter(({ engine }) => !avoid.includes(engine.name))
    if (permitWaitMs !== undefined && usable.length > 0) {
      const endsMs = usable.map((ready) => Math.max(permitWaitMs, ready.freeAtMs - nowMs + chooser.costMs(waiting, ready, nowMs)))
      return Math.min(...endsMs) + handoverMs
    }
    // A shard that was just taken over may have capacity as soon as its engines report.
    return chooser.minOwnPrefillMs(waiting, nowMs) ?? (ledger.awaitsFirstReports(nowMs) ? handoverMs : undefined)
  }
}
