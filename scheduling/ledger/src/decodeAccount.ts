import { holdLabelKey } from '@reelspan/core.messages'
import { type EngineReport, HoldKind } from '@reelspan/upstream.client'
import { PrefillAccount } from './prefillAccount.js'

/** One request's place on a decode engine. */
export interface SlotReservation {
  kvBytes: number
  /** The place is certainly free again by then. */
  latestEndMs: number
}

export interface DecodeCapacity {
  slots: number
  kvBytes: number
}

/** A stream that runs past its latest end is given this much more at each report. */
const OVERRUN_STEP_MS = 500

/** Places and KV bytes of one decode engine: what was reserved here, and what others hold on it. */
export class DecodeAccount {
  readonly #reserved = new Map<string, SlotReservation>()
  #reservedKvBytes = 0
  #external: DecodeCapacity = { slots: 0, kvBytes: 0 }
  /** Prompts that it computes itself, between the tokens of its streams. */
  readonly ownPrefills = new PrefillAccount()
  /** When the engine's link from the prefill pool is free. */
  linkFreeAtMs = 0

  get reservedPlaces (): number {
    return this.#reserved.size
  }

  get externalPlaces (): number {
    return this.#external.slots
  }

  get kvBytesInUse (): number {
    return this.#external.kvBytes + this.#reservedKvBytes
  }

  /** What is free now, within the given capacity. */
  freeNow (capacity: DecodeCapacity): DecodeCapacity {
    return {
      slots: capacity.slots - this.#external.slots - this.#reserved.size,
      kvBytes: capacity.kvBytes - this.kvBytesInUse,
    }
  }

  /** What is certainly free at a time to come. Looks at each reservation. */
  freeAt (atMs: number, capacity: DecodeCapacity): DecodeCapacity {
    const free = this.freeNow(capacity)
    this.#reserved.forEach(({ latestEndMs, kvBytes }) => {
      if (latestEndMs > atMs) return
      free.slots++
      free.kvBytes += kvBytes
    })
    return free
  }

  reserve (labelKey: string, reservation: SlotReservation): void {
    this.release(labelKey)
    this.#reserved.set(labelKey, reservation)
    this.#reservedKvBytes += reservation.kvBytes
  }

  release (labelKey: string): void {
    this.#reservedKvBytes -= this.#reserved.get(labelKey)?.kvBytes ?? 0
    this.#reserved.delete(labelKey)
  }

  /** Counts what the engine holds beyond the reservations made here. A hold that outlasts its reservation's estimate keeps its place. */
  recordReport (report: EngineReport, nowMs: number): void {
    const held = report.holds.filter(({ kind }) => kind === HoldKind.Decode || kind === HoldKind.Import)
    const external = held.filter(({ label }) => !this.#reserved.has(holdLabelKey(label)))
    this.#external = { slots: external.length, kvBytes: external.reduce((sum, { kvBytes }) => sum + kvBytes, 0) }
    held.forEach(({ label }) => {
      const reservation = this.#reserved.get(holdLabelKey(label))
      if (reservation && reservation.latestEndMs <= nowMs) reservation.latestEndMs = nowMs + OVERRUN_STEP_MS
    })
  }
}
