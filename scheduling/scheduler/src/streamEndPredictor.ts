import { type EngineAccount, type SlotReservation } from '@reelspan/scheduling.ledger'
import { type TokenPaceEstimator } from './tokenPaceEstimator.js'

/** A stream that has ended. */
export interface EndedStream {
  tokens: number
  /** Time from its expected start to its release. */
  durationMs: number
}

/** Recent streams of an engine whose delays count. */
const SAMPLES = 15
/** Fewer streams say too little about how late streams of an engine end. */
const MIN_SAMPLES = 3

/**
 * Predicts by when a stream has ended even if it has its maximum length: by the time between tokens on its engine, and the
 * largest delay of recent streams there. Nothing is predicted before a few streams have ended on the engine.
 */
export class StreamEndPredictor {
  readonly #pace: TokenPaceEstimator
  readonly #delaysMs = new Map<string, number[]>()

  constructor (pace: TokenPaceEstimator) {
    this.#pace = pace
  }

  /** Called after the engine's pace was updated. */
  observe (engine: string, { tokens, durationMs }: EndedStream): void {
    const tokenMs = this.#pace.engineTokenMs(engine)
    if (tokenMs === undefined) return
    const delayMs = Math.max(0, durationMs - tokens * tokenMs)
    this.#delaysMs.set(engine, [...this.#delaysMs.get(engine) ?? [], delayMs].slice(-SAMPLES))
  }

  /** Infinite if nothing is predicted, as for a stream that was held up by a silence of its engine. */
  latestEndMs ({ name, resumedAtMs = Number.NEGATIVE_INFINITY }: Pick<EngineAccount<unknown>, 'name' | 'resumedAtMs'>, { importEndMs, maxTokens }: SlotReservation): number {
    if (importEndMs <= resumedAtMs) return Number.POSITIVE_INFINITY
    const tokenMs = this.#pace.engineTokenMs(name)
    const delaysMs = this.#delaysMs.get(name) ?? []
    if (tokenMs === undefined || delaysMs.length < MIN_SAMPLES) return Number.POSITIVE_INFINITY
    return importEndMs + maxTokens * tokenMs + Math.max(...delaysMs)
  }

  retain (listed: ReadonlySet<string>): void {
    [...this.#delaysMs.keys()].filter((engine) => !listed.has(engine)).forEach((engine) => this.#delaysMs.delete(engine))
  }
}
