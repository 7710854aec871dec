/** A request that ran, and what it counted. */
export interface CountedRun {
  atMs: number
  cost: number
}

export interface LimitRule {
  perSecond: number
  burst: number
  windowMs: number
  /** Part by which a window may go beyond rate and burst. */
  overage: number
  /** What may come on top of that. */
  slack: number
}

const MS_PER_SECOND = 1000

/** The most that ran in any window of the rule's length, as a part of what may run there. Above 1 the rule is broken. */
export function fullestWindow (runs: readonly CountedRun[], { perSecond, burst, windowMs, overage, slack }: LimitRule): number {
  const allowed = (perSecond * windowMs / MS_PER_SECOND + burst) * (1 + overage) + slack
  const sorted = [...runs].sort((a, b) => a.atMs - b.atMs)
  let oldest = 0
  let sum = 0
  const sums = sorted.map(({ atMs, cost }) => {
    sum += cost
    while (sorted[oldest].atMs <= atMs - windowMs) sum -= sorted[oldest++].cost
    return sum
  })
  return Math.max(0, ...sums) / allowed
}
