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

/** An exit of an upstream at which a part was. */
export interface ExitToClear {
  targetVersion: string
  endedAtMs: number
  minWrittenMs: number
}

interface Clearance {
  event: RunEvent
  atMs: number
}

/** The runs, at any box, that clear prompt parts of having crashed upstreams. */
export class ClearanceStore {
  readonly #clock: Clock
  readonly #retentionMs: number
  readonly #byId = new Map<string, Clearance>()
  /** When a part was last cleared, by its hash and the version of the upstreams, and by how far the run had written. */
  readonly #lastMs = new Map<string, Map<number, number>>()
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
    keysOf(event).forEach((key) => {
      const lastMs = this.#lastMs.get(key) ?? new Map<number, number>()
      lastMs.set(writtenMsOf(event), Math.max(clearance.atMs, lastMs.get(writtenMsOf(event)) ?? Number.NEGATIVE_INFINITY))
      this.#lastMs.set(key, lastMs)
    })
    if (this.size > MAX_CLEARANCES) this.#removeOldest()
    return true
  }

  /** Whether a run with the part that had written for at least `minWrittenMs` clears it of an exit. */
  isCleared (part: string, { targetVersion, endedAtMs, minWrittenMs }: ExitToClear): boolean {
    const lastMs = this.#lastMs.get(keyOf(part, targetVersion))
    return lastMs !== undefined && [...lastMs].some(([writtenMs, atMs]) => writtenMs >= minWrittenMs && atMs >= endedAtMs - CLEARANCE_MS)
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
      keysOf(event).forEach((key) => this.#forget(key, writtenMsOf(event), atMs))
    })
  }

  #forget (key: string, writtenMs: number, atMs: number): void {
    const lastMs = this.#lastMs.get(key)
    if (lastMs?.get(writtenMs) !== atMs) return
    lastMs.delete(writtenMs)
    if (lastMs.size === 0) this.#lastMs.delete(key)
  }
}

function keysOf ({ parts = [], targetVersion = '' }: RunEvent): string[] {
  return parts.map((part) => keyOf(part, targetVersion))
}

/** The answer of a clearance without it was complete. */
function writtenMsOf ({ writtenMs = Number.POSITIVE_INFINITY }: RunEvent): number {
  return writtenMs
}

function keyOf (part: string, targetVersion: string): string {
  return `${part} ${targetVersion}`
}
