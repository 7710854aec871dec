export interface WeightedDemand {
  weight: number
  demand: number
}

/**
 * Weighted max-min fairness: the level per unit of weight at which the demands, each
 * limited to its weight times the level, add up to the total. Infinite if the total
 * covers all demands.
 */
export function fairLevel (demands: readonly WeightedDemand[], total: number): number {
  const ascending = [...demands].sort((a, b) => a.demand / a.weight - b.demand / b.weight)
  let left = total
  let weightLeft = ascending.reduce((sum, { weight }) => sum + weight, 0)
  const limited = ascending.find(({ weight, demand }) => {
    if (demand * weightLeft > left * weight) return true
    left -= demand
    weightLeft -= weight
    return false
  })
  return limited ? Math.max(0, left) / weightLeft : Number.POSITIVE_INFINITY
}
