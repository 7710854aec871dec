import { holdLabelKey } from '@reelspan/core.messages'
import { type EngineReport, HoldKind } from '@reelspan/upstream.client'

/** A prefill without an end notification is assumed to have ended this long after its planned end. */
const MISSED_END_GRACE_MS = 500
const EWMA_WEIGHT = 0.05
const MAX_SPEED_FACTOR = 3
const MIN_SPEED_FACTOR = 0.5

/**
 * Planned work of one prefill engine, which runs one prefill at a time. Times are
 * on this box's clock. Owners report the end of each prefill, so errors of the
 * estimates do not accumulate, and the engine's actual speed is estimated from the ends.
 */
export class PrefillAccount {
  /** Estimated duration of each prefill, in execution order. */
  readonly #work = new Map<string, number>()
  #headStartMs = 0
  #externalUntilMs = 0
  #speedFactor = 1
  /** Time at which the engine's link to the decode pool is free. */
  linkFreeAtMs = 0

  /** EWMA of the actual duration of prefills divided by the estimated one. */
  get speedFactor (): number {
    return this.#speedFactor
  }

  /** Number of prefills that have not ended. */
  get plannedCount (): number {
    return this.#work.size
  }

  /** Time at which the engine can start another prefill. */
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

  /** Removes a prefill whose owner reported its end, and updates the speed factor. */
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

  /** Adds the queue time that the engine reports if it also runs prefills of other schedulers. */
  recordReport (report: EngineReport, nowMs: number): void {
    const queued = report.holds.filter(({ kind }) => kind === HoldKind.Prefill)
    const external = queued.some(({ label }) => !this.#work.has(holdLabelKey(label)))
    this.#externalUntilMs = external ? nowMs + report.prefillQueueMs : 0
  }

  /** Removes prefills whose end notification is overdue. */
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
