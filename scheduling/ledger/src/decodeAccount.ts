import { holdLabelKey } from '@reelspan/core.messages'
import { type EngineReport, HoldKind } from '@reelspan/upstream.client'
import { PrefillAccount } from './prefillAccount.js'

/** The slot and memory reserved for one request on a decode engine. */
export interface SlotReservation {
  kvBytes: number
  maxTokens: number
  /** Expected start of its stream. */
  importEndMs: number
}

export interface DecodeCapacity {
  slots: number
  kvBytes: number
}

/** Slots that may be used of an engine that was full, and for how long at least. */
export interface SlotRestriction {
  slots: number
  limitedMs: number
}

/** How long an engine that refused a request as full gets no more than it had then; doubled each time it refuses again soon after. */
const INITIAL_LIMITED_MS = 500
const MAX_LIMITED_MS = 8000
/** A refusal within this many times the last duration repeats the one before: the limit is raised meanwhile. */
const REPEATED_WITHIN_TIMES = 3
const RAISE_INTERVAL_MS = 200

/** Slots and KV bytes in use on one decode engine: reservations made here, and holds of other schedulers. */
export class DecodeAccount {
  readonly #reserved = new Map<string, SlotReservation>()
  #reservedKvBytes = 0
  #external: DecodeCapacity = { slots: 0, kvBytes: 0 }
  /** Slots that may be used since the engine was found to be full. */
  #limit = { slots: Number.POSITIVE_INFINITY, refusedAtMs: Number.NEGATIVE_INFINITY, limitedMs: 0, raisedAtMs: Number.POSITIVE_INFINITY }
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
      slots: Math.min(capacity.slots, this.#limit.slots) - this.#external.slots - this.#reserved.size,
      kvBytes: capacity.kvBytes - this.kvBytesInUse,
    }
  }

  /**
   * Returns what is free at a future time if each stream has ended by its predicted time. A stream that outlasts its
   * own shows that the engine is slower than predicted, so only what is free now counts then. Iterates over all reservations.
   */
  freeAt (atMs: number, capacity: DecodeCapacity, predictedEndMs: (reservation: SlotReservation) => number, nowMs: number): DecodeCapacity {
    const free = this.freeNow(capacity)
    const ends = [...this.#reserved.values()].map((reservation) => ({ kvBytes: reservation.kvBytes, endMs: predictedEndMs(reservation) }))
    if (ends.some(({ endMs }) => endMs <= nowMs)) return free
    ends.filter(({ endMs }) => endMs <= atMs).forEach(({ kvBytes }) => {
      free.slots++
      free.kvBytes += kvBytes
    })
    return free
  }

  /**
   * Called when the engine has refused a request as full, after the request was released here. Requests that are not reserved
   * here may hold its slots: for a while it gets no more requests than it has now, longer each time this repeats.
   *
   * @returns the number of slots that may be used, and for how long at least
   */
  markFull (nowMs: number): SlotRestriction {
    const { refusedAtMs, limitedMs: lastMs } = this.#limit
    const limitedMs = nowMs - refusedAtMs < REPEATED_WITHIN_TIMES * lastMs ? Math.min(MAX_LIMITED_MS, 2 * lastMs) : INITIAL_LIMITED_MS
    const slots = this.#reserved.size + this.#external.slots
    this.#limit = { slots, refusedAtMs: nowMs, limitedMs, raisedAtMs: nowMs + limitedMs }
    return { slots, limitedMs }
  }

  /** Raises the limit of an engine that was full, slot by slot. */
  expire (nowMs: number): void {
    if (nowMs < this.#limit.raisedAtMs) return
    this.#limit.slots++
    this.#limit.raisedAtMs = nowMs + RAISE_INTERVAL_MS
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

  /** Counts the engine's holds that are not reserved here. */
  recordReport (report: EngineReport): void {
    const external = report.holds.filter(({ kind, label }) => (kind === HoldKind.Decode || kind === HoldKind.Import) && !this.#reserved.has(holdLabelKey(label)))
    this.#external = { slots: external.length, kvBytes: external.reduce((sum, { kvBytes }) => sum + kvBytes, 0) }
  }
}
