import { type SeededRandom } from '@reelspan/utils.fakes'

/** One of the items, by chance. There must be some. */
export function drawOne<T> (random: SeededRandom, items: readonly T[]): T {
  return items[Math.floor(random.nextFloat() * items.length)]
}
