import { type DecodeCapacity } from '@reelspan/scheduling.ledger'
import { SlotForecast } from './slotForecast.js'

/** A decode engine that takes work: what is free on it, and what is held until when. */
export interface EngineCapacity {
  free: DecodeCapacity
  held: readonly HeldCapacity[]
}

/** Capacity that one request holds on a decode engine. */
export interface HeldCapacity {
  kvBytes: number
  /** Expected time until it is free. */
  endsInMs: number
}

/** An engine that computes prompts, one at a time. */
export interface PrefillCapacity {
  /** Time until it can start another prompt. */
  freeInMs: number
  /** Time that a prompt takes on it. */
  costMs: number
}

export interface CapacityInputs {
  /** Memory that the request needs. */
  kvBytes: number
  /** Size of the requests that go before it, relative to its own. */
  aheadFactor?: number
  /** Time for which a request that is placed now is expected to hold its slot. */
  holdMs: number
  decode: readonly EngineCapacity[]
  prefill: readonly PrefillCapacity[]
  /** Mean time between new requests; undefined if unknown. */
  msPerArrival?: number
}

/** Slots later than this are not forecast: retry delays and the time that callers wait are shorter. */
const HORIZON_MS = 60_000
/** Upper bound of the steps in which the slots taken by new requests are computed; with new requests at 0.8 of the rate of slots, the rest is below 0.1% after it. */
const MAX_STEPS = 32
/** A step that changes the result by less than this share ends the computation. */
const STEP_TOLERANCE = 0.005
const MIN_STEP_MS = 1

/**
 * Forecasts slots from what is reserved: a slot is free when a decode engine has a batch slot and enough memory for the
 * request, and a prefill engine can start its prompt. A slot that was taken by a waiting request is free again after the
 * usual time. The engines are evaluated once, in O(reservations log reservations); a query takes O(log engines).
 */
export class CapacityForecast extends SlotForecast {
  readonly #inputs: CapacityInputs
  readonly #decodeMs: number[]
  readonly #prefill: PrefillStarts

  constructor (inputs: CapacityInputs) {
    super()
    this.#inputs = inputs
    this.#decodeMs = inputs.decode.flatMap((engine) => slotTimesMs(engine, inputs.kvBytes)).sort((a, b) => a - b)
    this.#prefill = new PrefillStarts(inputs.prefill)
  }

  slotMs (n: number, error = 0): number {
    const ownSlots = (n - 1) * (this.#inputs.aheadFactor ?? 1) + 1
    const atMs = Math.max(this.#decodeSlotMs(ownSlots), this.#prefill.startMs(n)) / (1 + error)
    return atMs > HORIZON_MS ? Number.POSITIVE_INFINITY : atMs
  }

  lateSlotMs (n: number, error = 0, msPerArrival = this.#inputs.msPerArrival): number {
    const arrivalsPerMs = msPerArrival === undefined ? 0 : (1 - error) / msPerArrival
    let atMs = this.slotMs(n, error)
    // Each step adds the new requests that arrive until the slot that was found, and converges from below.
    for (let step = 0; step < MAX_STEPS && Number.isFinite(atMs); step++) {
      const laterMs = this.slotMs(n + Math.floor(arrivalsPerMs * atMs), error)
      if (laterMs - atMs <= Math.max(MIN_STEP_MS, STEP_TOLERANCE * atMs)) return laterMs
      atMs = laterMs
    }
    return Number.POSITIVE_INFINITY
  }

  #decodeSlotMs (n: number): number {
    const count = this.#decodeMs.length
    if (count === 0) return Number.POSITIVE_INFINITY
    const index = Math.max(1, Math.ceil(n)) - 1
    return this.#decodeMs[index % count] + Math.floor(index / count) * this.#inputs.holdMs
  }
}

/** Times at which an engine has room for one more request of a size, if nothing else is placed on it. */
function slotTimesMs ({ free, held }: EngineCapacity, kvBytes: number): number[] {
  let { slots, kvBytes: freeBytes } = free
  let counted = 0
  const countNew = () => {
    const fitting = Math.max(counted, Math.floor(Math.min(slots, freeBytes / kvBytes)))
    const added = fitting - counted
    counted = fitting
    return added
  }
  const atOnce = Array.from({ length: countNew() }, () => 0)
  const later = [...held].sort((a, b) => a.endsInMs - b.endsInMs).flatMap((one) => {
    slots++
    freeBytes += one.kvBytes
    return Array.from({ length: countNew() }, () => Math.max(0, one.endsInMs))
  })
  return [...atOnce, ...later]
}

/** Start times of prompts on engines that compute one prompt after another. The part of a prompt that is done counts as a part of a start, so that a time is up to one prompt too early. */
class PrefillStarts {
  /** The engines in the order in which they are free, with sums over each one and those before it. */
  readonly #engines: { freeInMs: number, perMs: number, offset: number, startsBefore: number }[] = []

  constructor (prefill: readonly PrefillCapacity[]) {
    let perMs = 0
    let offset = 0;
    [...prefill].sort((a, b) => a.freeInMs - b.freeInMs).forEach(({ freeInMs, costMs }) => {
      const startsBefore = freeInMs * perMs + offset
      perMs += 1 / costMs
      offset += 1 - freeInMs / costMs
      this.#engines.push({ freeInMs, perMs, offset, startsBefore })
    })
  }

  /** Time until the n-th prompt can start; infinite without engines. */
  startMs (n: number): number {
    if (this.#engines.length === 0) return Number.POSITIVE_INFINITY
    let low = 0
    let high = this.#engines.length - 1
    while (low < high) {
      const middle = (low + high + 1) >> 1
      if (this.#engines[middle].startsBefore < n) low = middle
      else high = middle - 1
    }
    const { freeInMs, perMs, offset } = this.#engines[low]
    return Math.max(freeInMs, (n - offset) / perMs)
  }
}
