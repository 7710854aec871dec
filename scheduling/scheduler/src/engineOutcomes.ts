import { type Clock } from '@reelspan/core.env'
import { type EngineOutcome, UpstreamOutcome } from '@reelspan/core.messages'
import { type ShardLedger, type SlotRestriction } from '@reelspan/scheduling.ledger'
import { type Suspicion, UpstreamHealth } from '@reelspan/upstream.health'

export interface EngineOutcomesOptions {
  clock: Clock
  ledger: ShardLedger
  /** Called when an owner could not reach an engine, so that the engine is probed. */
  onUnreachable?: (engine: string) => void
  /** Called when an engine is avoided for a while because owners reported failures. */
  onSuspected?: (engine: string, suspicion: Suspicion) => void
  onTrusted?: (engine: string) => void
  /** Called when a decode engine refused a request as full and is limited to the slots that it has in use. */
  onFull?: (engine: string, restriction: SlotRestriction) => void
}

/** A scheduler has the answer of an engine that it checks by then. */
const CHECK_MS = 500

/** Silent calls to an engine that answers the scheduler count as one failure within this time, since a pause strikes all calls at once. */
const SAME_SILENCE_MS = 1000

/** An engine that an owner could not reach, until the scheduler's own check of it ends. */
interface UncheckedEngine {
  reportedBy: string
  /** Whether it sent nothing, though no connection failed. */
  silent: boolean
  untilMs: number
}

/** Part of a decode engine that is known to be in use if it can be full: requests of other schedulers, and connections that hold a slot, are not known. */
const MIN_FULL_SHARE = 0.5

/** Combines what all owners report of their calls to the engines of a shard, since each owner sees few answers of an engine. */
export class EngineOutcomes {
  readonly #opts: EngineOutcomesOptions
  readonly #health: UpstreamHealth
  readonly #unchecked = new Map<string, UncheckedEngine>()
  readonly #silentFailureAtMs = new Map<string, number>()

  constructor (opts: EngineOutcomesOptions) {
    this.#opts = opts
    this.#health = new UpstreamHealth(opts)
  }

  /** Records the calls that the owner at a peer address made for one placement. */
  record (outcomes: readonly EngineOutcome[], ownerAddress: string): void {
    const { clock, ledger, onUnreachable } = this.#opts
    outcomes.forEach(({ engine, outcome, full, silent = false }) => {
      const pool = ledger.poolOf(engine)
      if (pool.length === 0 || (full && this.#canBeFull(engine))) return
      if (outcome !== UpstreamOutcome.Unreachable || !onUnreachable) return this.#health.record(engine, outcome, pool, { reportedBy: ownerAddress, silent })
      this.#unchecked.set(engine, { reportedBy: ownerAddress, silent, untilMs: clock.nowMs() + CHECK_MS })
      onUnreachable(engine)
    })
  }

  /** Called when an engine has reported. A failed call of an owner counts as one of many then, since engines may lose answers. */
  recordReport (engine: string): void {
    this.#health.recordReceived(engine)
    const nowMs = this.#opts.clock.nowMs()
    const silent = this.#unchecked.get(engine)?.silent
    if (silent && nowMs - (this.#silentFailureAtMs.get(engine) ?? Number.NEGATIVE_INFINITY) < SAME_SILENCE_MS) {
      this.#unchecked.delete(engine)
      return
    }
    if (silent) this.#silentFailureAtMs.set(engine, nowMs)
    this.#recordChecked(engine, UpstreamOutcome.Failed)
  }

  /**
   * Called when an engine has not reported. Confirms the owner that could not reach it.
   *
   * @param silent whether it has not answered, though no connection failed
   */
  recordNoReport (engine: string, silent: boolean): void {
    this.#recordChecked(engine, UpstreamOutcome.Unreachable, silent)
  }

  /** Called when it cannot be checked whether an engine that an owner could not reach has failed. */
  ignoreUnreachable (engine: string): void {
    this.#unchecked.delete(engine)
  }

  /** Returns the engine that refused a placement as full, if it was the last one to be asked. Called while the placement is reserved. */
  fullEngine (outcomes: readonly EngineOutcome[]): string | undefined {
    const last = outcomes.at(-1)
    return last?.full && this.#canBeFull(last.engine) ? last.engine : undefined
  }

  /** Limits an engine that refused a placement as full to what is reserved there. Called after the placement was released. */
  limit (engine: string): void {
    const { clock, ledger, onFull } = this.#opts
    const restriction = ledger.markFull(engine, clock.nowMs())
    if (restriction) onFull?.(engine, restriction)
  }

  isSuspect (engine: string): boolean {
    return this.#health.isSuspect(engine) || (this.#unchecked.get(engine)?.untilMs ?? 0) > this.#opts.clock.nowMs()
  }

  /** Engines that are suspected of failing now. */
  suspects (): string[] {
    return this.#health.suspects()
  }

  /** Removes engines that are no longer listed. */
  retain (listed: ReadonlySet<string>): void {
    this.#health.retain(listed);
    [this.#unchecked, this.#silentFailureAtMs].forEach((known) => [...known.keys()].filter((engine) => !listed.has(engine)).forEach((engine) => known.delete(engine)))
  }

  #recordChecked (engine: string, outcome: UpstreamOutcome, silent = false): void {
    const unchecked = this.#unchecked.get(engine)
    if (!unchecked) return
    this.#unchecked.delete(engine)
    this.#health.record(engine, outcome, this.#opts.ledger.poolOf(engine), { reportedBy: unchecked.reportedBy, silent: silent && unchecked.silent })
  }

  /** An engine that refuses requests as full while little of it is in use is failing. */
  #canBeFull (engine: string): boolean {
    return this.#opts.ledger.usedShare(engine) >= MIN_FULL_SHARE
  }
}
