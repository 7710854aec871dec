import { holdLabelKey } from '@reelspan/core.messages'
import { type EngineReport, HoldKind } from '@reelspan/upstream.client'

/** One request's place on a decode engine. */
export interface PlaceReservation {
  kvBytes: number
  /** The place is certainly free again by then. */
  latestEndMs: number
}

export interface DecodeCapacity {
  places: number
  kvBytes: number
}

/** Places and KV bytes of one decode engine: what was reserved here, and what others hold on it. */
export class DecodeAccount {
  readonly #reserved = new Map<string, PlaceReservation>()
  #external: DecodeCapacity = { places: 0, kvBytes: 0 }
  /** When the engine's link from the prefill pool is free. */
  linkFreeAtMs = 0

  get reservedPlaces (): number {
    return this.#reserved.size
  }

  get externalPlaces (): number {
    return this.#external.places
  }

  get kvBytesInUse (): number {
    return this.#external.kvBytes + [...this.#reserved.values()].reduce((sum, { kvBytes }) => sum + kvBytes, 0)
  }

  /** What is certainly free at a time to come, within the given capacity. */
  freeAt (atMs: number, capacity: DecodeCapacity): DecodeCapacity {
    const taken = [...this.#reserved.values()].filter(({ latestEndMs }) => latestEndMs > atMs)
    return {
      places: capacity.places - this.#external.places - taken.length,
      kvBytes: capacity.kvBytes - this.#external.kvBytes - taken.reduce((sum, { kvBytes }) => sum + kvBytes, 0),
    }
  }

  reserve (labelKey: string, reservation: PlaceReservation): void {
    this.#reserved.set(labelKey, reservation)
  }

  release (labelKey: string): void {
    this.#reserved.delete(labelKey)
  }

  /** Counts what the engine holds beyond the reservations made here. A hold that outlasts its reservation's estimate keeps its place. */
  noteReport (report: EngineReport, nowMs: number): void {
    const held = report.holds.filter(({ kind }) => kind === HoldKind.Decode || kind === HoldKind.Import)
    const external = held.filter(({ label }) => !this.#reserved.has(holdLabelKey(label)))
    this.#external = { places: external.length, kvBytes: external.reduce((sum, { kvBytes }) => sum + kvBytes, 0) }
    held.forEach(({ label }) => {
      const reservation = this.#reserved.get(holdLabelKey(label))
      if (reservation && reservation.latestEndMs <= nowMs) reservation.latestEndMs = nowMs + OVERRUN_STEP_MS
    })
  }
}

/** A stream that runs past its latest end is given this much more at each report. */
const OVERRUN_STEP_MS = 500
