import { type Random } from '@reelspan/core.env'

const INCARNATION_DIGITS = 16

/** Generates the identifier of one incarnation of a process. */
export function generateIncarnation (random: Random): string {
  return random.hex(INCARNATION_DIGITS)
}
