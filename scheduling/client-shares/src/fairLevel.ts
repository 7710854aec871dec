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
  let left = total
  let weightLeft = demands.reduce((sum, { weight }) => sum + weight, 0)
  // Each pass serves in full the clients that request less than the level. Few passes are needed, so this is cheaper than sorting.
  for (let open = demands; open.length > 0;) {
    const level = Math.max(0, left) / weightLeft
    const above = open.filter(({ weight, demand }) => demand > weight * level)
    if (above.length === open.length) return level
    open.forEach(({ weight, demand }) => { if (demand <= weight * level) left -= demand })
    weightLeft = above.reduce((sum, { weight }) => sum + weight, 0)
    open = above
  }
  return Number.POSITIVE_INFINITY
}
