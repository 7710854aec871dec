/** Rates at which slots become free and new requests arrive. */
export interface SlotRates {
  /** Mean time between free slots; 0 if unknown. */
  msPerPlace: number
  /** Mean time between new requests; undefined if unknown. */
  msPerArrival?: number
}

/** Forecasts when slots become free for the requests that wait. */
export abstract class SlotForecast {
  /**
   * Time until the n-th slot is free; infinite if none is expected.
   *
   * @param error relative correction: slots are assumed to become free this much faster than forecast
   */
  abstract slotMs (n: number, error?: number): number

  /**
   * Time until the n-th slot that new requests leave, which go before late ones. `error` also lowers the rate of new requests.
   *
   * @param msPerArrival time between the new requests that count, if these are not all
   */
  abstract lateSlotMs (n: number, error?: number, msPerArrival?: number): number
}

/** Assumes that slots become free at the rate that was counted. */
export class RateForecast extends SlotForecast {
  readonly #rates: SlotRates

  constructor (rates: SlotRates) {
    super()
    this.#rates = rates
  }

  slotMs (n: number, error = 0): number {
    return n * this.#rates.msPerPlace / (1 + error)
  }

  lateSlotMs (n: number, error = 0, msPerArrival = this.#rates.msPerArrival): number {
    return n * this.#msPerLateSlot(error, msPerArrival)
  }

  /** Mean time between the slots that are left after new requests that can be in time have taken theirs. */
  #msPerLateSlot (error: number, msPerArrival?: number): number {
    const { msPerPlace } = this.#rates
    if (msPerPlace === 0) return 0
    const slotsPerMs = (1 + error) / msPerPlace
    const lateSlotsPerMs = msPerArrival === undefined ? slotsPerMs : slotsPerMs - (1 - error) / msPerArrival
    return lateSlotsPerMs > 0 ? 1 / lateSlotsPerMs : Number.POSITIVE_INFINITY
  }
}
