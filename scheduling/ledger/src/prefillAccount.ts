import { holdLabelKey } from '@reelspan/core.messages'
import { type EngineReport, HoldKind } from '@reelspan/upstream.client'

/** Planned work of one prefill engine. Times are on this box's clock. */
export class PrefillAccount {
  readonly #endsAtMs = new Map<string, number>()
  #externalUntilMs = 0
  /** When the engine's link to the decode pool is free. */
  linkFreeAtMs = 0

  /** When the engine can begin another prefill. */
  freeAtMs (nowMs: number): number {
    return Math.max(nowMs, this.#externalUntilMs, ...this.#endsAtMs.values())
  }

  plan (labelKey: string, endMs: number): void {
    this.#endsAtMs.set(labelKey, endMs)
  }

  release (labelKey: string): void {
    this.#endsAtMs.delete(labelKey)
  }

  /** Corrects the plan by what the engine says it still has before it. */
  noteReport (report: EngineReport, nowMs: number): void {
    const queued = report.holds.filter(({ kind }) => kind === HoldKind.Prefill).map(({ label }) => holdLabelKey(label))
    const external = queued.some((key) => !this.#endsAtMs.has(key))
    this.#externalUntilMs = external ? nowMs + report.prefillQueueMs : 0
    const stillQueued = new Set(queued)
    this.#endsAtMs.forEach((endMs, key) => {
      if (endMs < nowMs && stillQueued.has(key)) this.#endsAtMs.set(key, nowMs + report.prefillQueueMs)
    })
  }

  /** Forgets work that has ended by plan. */
  expire (nowMs: number): void {
    this.#endsAtMs.forEach((endMs, key) => {
      if (endMs <= nowMs) this.#endsAtMs.delete(key)
    })
  }
}
