import { randomBytes } from 'node:crypto'
import { Random } from '@reelspan/core.env'

/** Randomness from the operating system. */
export class SystemRandom extends Random {
  nextFloat (): number {
    return randomBytes(6).readUIntBE(0, 6) / 2 ** 48
  }
}
