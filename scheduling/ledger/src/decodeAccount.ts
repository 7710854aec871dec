import { holdLabelKey } from '@reelspan/core.messages'
import { type EngineReport, HoldKind } from '@reelspan/upstream.client'
import { PrefillAccount } from './prefillAccount.js'

/** The slot and memory reserved for one request on a decode engine. */
export interface SlotReservation {
  kvBytes: number
  /** The request has certainly ended by this time. */
  latestEndMs: number
}

export interface DecodeCapacity {
  slots: number
  kvBytes: number
}

/** Extends the latest end of a stream that a report still shows after it. */
const OVERRUN_STEP_MS = 500

/** Slots and KV bytes in use on one decode engine: reservations made here, and holds of other schedulers. */
export class DecodeAccount {
  readonly #reserved = new Map<string, SlotReservation>()
  #reservedKvBytes = 0
  #external: DecodeCapacity = { slots: 0, kvBytes: 0 }
  /** Prompts that the engine computes itself, between the decode steps of its streams. */
  readonly ownPrefills = new PrefillAccount()
  /** Time at which the engine's link from the prefill pool is free. */
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

  /** Returns what is free now, within the given capacity. */
  freeNow (capacity: DecodeCapacity): DecodeCapacity {
    return {
      slots: capacity.slots - this.#external.slots - this.#reserved.size,
      kvBytes: capacity.kvBytes - this.kvBytesInUse,
    }
  }

  /** Returns what is certainly free at a future time. Iterates over all reservations. */
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

  /** Counts the engine's holds that are not reserved here. A reservation whose hold outlasts the estimate is extended. */
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
