import { type Random } from '@reelspan/core.env'

const INCARNATION_DIGITS = 16

/** Names one life of a process and no other. */
export function drawIncarnation (random: Random): string {
  return random.hex(INCARNATION_DIGITS)
}
