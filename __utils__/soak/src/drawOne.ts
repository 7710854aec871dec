import { type SeededRandom } from '@reelspan/utils.fakes'

/** Returns a random item. The list must not be empty. */
export function drawOne<T> (random: SeededRandom, items: readonly T[]): T {
  return items[Math.floor(random.nextFloat() * items.length)]
}
