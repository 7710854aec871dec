import { randomFillSync } from 'node:crypto'
import { Random } from '@reelspan/core.env'

const BYTES_PER_NUMBER = 6
const POOL_BYTES = 1024 * BYTES_PER_NUMBER

/** Randomness from the operating system, fetched in larger parts. */
export class SystemRandom extends Random {
  readonly #pool = Buffer.alloc(POOL_BYTES)
  #used = POOL_BYTES

  nextFloat (): number {
    if (this.#used >= POOL_BYTES) {
      randomFillSync(this.#pool)
      this.#used = 0
    }
    const value = this.#pool.readUIntBE(this.#used, BYTES_PER_NUMBER)
    this.#used += BYTES_PER_NUMBER
    return value / 2 ** 48
  }
}
