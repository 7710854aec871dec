/** The value below which `percent` in 100 of the values are. 0 for no values. */
export function percentile (values: readonly number[], percent: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted.at(Math.min(sorted.length - 1, Math.floor(sorted.length * percent / 100))) ?? 0
}
