import { type Clock } from '@reelspan/core.env'
import { hash32 } from '@reelspan/core.hashing'
import { type RunEvent } from '@reelspan/core.messages'

/**
 * A run that did not crash its upstream clears its prompt parts of all earlier exits, and of those up to this time
 * later, since few runs last while upstreams exit one after another.
 */
export const CLEARANCE_MS = 10_000
/** Some hundred bytes each. */
const MAX_CLEARANCES = 1000

interface Clearance {
  event: RunEvent
  atMs: number
}

/** The runs, at any box, that clear prompt parts of having crashed upstreams. */
export class ClearanceStore {
  readonly #clock: Clock
  readonly #retentionMs: number
  readonly #byId = new Map<string, Clearance>()
  /** When a part was last cleared, by its hash and the version of the upstreams. */
  readonly #lastMs = new Map<string, number>()
  #digest = 0

  constructor ({ clock, retentionMs }: { clock: Clock, retentionMs: number }) {
    this.#clock = clock
    this.#retentionMs = retentionMs
  }

  get size (): number {
    return this.#byId.size
  }

  get full (): boolean {
    return this.size >= MAX_CLEARANCES
  }

  get digest (): number {
    return this.#digest
  }

  get clearedCount (): number {
    return this.#lastMs.size
  }

  add (event: RunEvent): boolean {
    if (this.#byId.has(event.id)) return false
    const clearance = { event, atMs: this.#clock.nowMs() - event.ageMs }
    this.#byId.set(event.id, clearance)
    this.#digest ^= hash32(event.id)
    keysOf(event).forEach((key) => this.#lastMs.set(key, Math.max(clearance.atMs, this.#lastMs.get(key) ?? Number.NEGATIVE_INFINITY)))
    if (this.size > MAX_CLEARANCES) this.#removeOldest()
    return true
  }

  isCleared (part: string, targetVersion: string, exitAtMs: number): boolean {
    return (this.#lastMs.get(keyOf(part, targetVersion)) ?? Number.NEGATIVE_INFINITY) >= exitAtMs - CLEARANCE_MS
  }

  all (): RunEvent[] {
    const nowMs = this.#clock.nowMs()
    return [...this.#byId.values()].map(({ event, atMs }) => ({ ...event, ageMs: Math.max(0, nowMs - atMs) }))
  }

  /** Returns whether anything was removed. */
  expire (): boolean {
    const lastMs = this.#clock.nowMs() - this.#retentionMs
    const expired = [...this.#byId.values()].filter(({ atMs }) => atMs <= lastMs)
    this.#remove(expired)
    return expired.length > 0
  }

  #removeOldest (): void {
    const oldest = [...this.#byId.values()].reduce((a, b) => b.atMs < a.atMs ? b : a)
    this.#remove([oldest])
  }

  #remove (removed: readonly Clearance[]): void {
    removed.forEach(({ event, atMs }) => {
      this.#byId.delete(event.id)
      this.#digest ^= hash32(event.id)
      keysOf(event).filter((key) => this.#lastMs.get(key) === atMs).forEach((key) => this.#lastMs.delete(key))
    })
  }
}

function keysOf ({ parts = [], targetVersion = '' }: RunEvent): string[] {
  return parts.map((part) => keyOf(part, targetVersion))
}

function keyOf (part: string, targetVersion: string): string {
  return `${part} ${targetVersion}`
}
