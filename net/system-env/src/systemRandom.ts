import { randomFillSync } from 'node:crypto'
import { Random } from '@reelspan/core.env'

const BYTES_PER_NUMBER = 6
const POOL_BYTES = 1024 * BYTES_PER_NUMBER

/** Random numbers from the operating system, fetched in batches. */
export class SystemRandom extends Random {
  readonly #pool = Buffer.alloc(POOL_BYTES)
  #usedBytes = POOL_BYTES

  nextFloat (): number {
    if (this.#usedBytes >= POOL_BYTES) {
      randomFillSync(this.#pool)
      this.#usedBytes = 0
    }
    const value = this.#pool.readUIntBE(this.#usedBytes, BYTES_PER_NUMBER)
    this.#usedBytes += BYTES_PER_NUMBER
    return value / 2 ** 48
  }
}
