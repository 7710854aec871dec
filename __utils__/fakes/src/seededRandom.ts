import { Random } from '@reelspan/core.env'

/** Deterministic random number generator with a seed (mulberry32, public domain). */
export class SeededRandom extends Random {
  #state: number

  constructor (seed: number) {
    super()
    this.#state = seed >>> 0
  }

  nextFloat (): number {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(this.#state ^ (this.#state >>> 15), this.#state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32
  }
}
