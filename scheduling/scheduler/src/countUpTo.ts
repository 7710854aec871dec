/** How many of the sorted values are no larger than a bound. */
export function countUpTo (sorted: readonly number[], bound: number): number {
  let low = 0
  let high = sorted.length
  while (low < high) {
    const middle = (low + high) >> 1
    if (sorted[middle] <= bound) low = middle + 1
    else high = middle
  }
  return low
}
