/** Returns the given percentile of the values, or 0 if there are none. */
export function percentile (values: readonly number[], percent: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted.at(Math.min(sorted.length - 1, Math.floor(sorted.length * percent / 100))) ?? 0
}
