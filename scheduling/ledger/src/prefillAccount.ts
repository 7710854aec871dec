import { holdLabelKey } from '@reelspan/core.messages'
import { type EngineReport, HoldKind } from '@reelspan/upstream.client'

/** Work whose end was not heard of by now, this long after its planned end, is taken to have ended. */
const MISSED_END_GRACE_MS = 500
const EWMA_WEIGHT = 0.05
const MAX_SPEED_FACTOR = 3
const MIN_SPEED_FACTOR = 0.5

/**
 * Planned work of one prefill engine, which does one prefill after another.
 * Times are on this box's clock. Ends are heard of, so that errors of the
 * estimates do not add up, and the engine's real speed is learnt from them.
 */
export class PrefillAccount {
  /** Estimated time of each prefill, in the order in which the engine does them. */
  readonly #work = new Map<string, number>()
  #headStartMs = 0
  #externalUntilMs = 0
  #speedFactor = 1
  /** When the engine's link to the decode pool is free. */
  linkFreeAtMs = 0

  /** Real durations of prefills over estimated ones. */
  get speedFactor (): number {
    return this.#speedFactor
  }

  /** Prefills that have not ended. */
  get plannedCount (): number {
    return this.#work.size
  }

  /** When the engine can begin another prefill. */
  freeAtMs (nowMs: number): number {
    const [head, ...rest] = this.#work.values()
    const headEndMs = head === undefined ? nowMs : Math.max(nowMs, this.#headStartMs + head)
    const queuedMs = rest.reduce((sum, costMs) => sum + costMs, 0)
    return Math.max(headEndMs + queuedMs, this.#externalUntilMs)
  }

  plan (labelKey: string, costMs: number, nowMs: number): void {
    if (this.#work.size === 0) this.#headStartMs = nowMs
    this.#work.set(labelKey, costMs)
  }

  /** The owner says that the prefill has ended. */
  finish (labelKey: string, nowMs: number): void {
    const [head] = this.#work.keys()
    const costMs = this.#work.get(labelKey) ?? 0
    if (head === labelKey && costMs > 0) this.#updateSpeedFactor((nowMs - this.#headStartMs) / costMs)
    this.remove(labelKey, nowMs)
  }

  remove (labelKey: string, nowMs = this.#headStartMs): void {
    const [head] = this.#work.keys()
    this.#work.delete(labelKey)
    if (head === labelKey) this.#headStartMs = Math.max(this.#headStartMs, nowMs)
  }

  /** Corrects the plan by what the engine says it still has before it. */
  recordReport (report: EngineReport, nowMs: number): void {
    const queued = report.holds.filter(({ kind }) => kind === HoldKind.Prefill)
    const external = queued.some(({ label }) => !this.#work.has(holdLabelKey(label)))
    this.#externalUntilMs = external ? nowMs + report.prefillQueueMs : 0
  }

  /** Forgets work whose end should have been heard of long ago. */
  expire (nowMs: number): void {
    const [head] = this.#work
    if (!head) return
    const [key, costMs] = head
    if (this.#headStartMs + costMs + MISSED_END_GRACE_MS > nowMs) return
    this.remove(key, this.#headStartMs + costMs)
    this.expire(nowMs)
  }

  #updateSpeedFactor (factor: number): void {
    const bounded = Math.min(MAX_SPEED_FACTOR, Math.max(MIN_SPEED_FACTOR, factor))
    this.#speedFactor += EWMA_WEIGHT * (bounded * this.#speedFactor - this.#speedFactor)
  }
}
